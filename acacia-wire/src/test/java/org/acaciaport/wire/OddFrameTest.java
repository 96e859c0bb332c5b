package org.acaciaport.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests frames of the right length whose body is no message. */
final class OddFrameTest {
    /** The encoding of no value. */
    private static final byte NIL = (byte) 0xC0;

    private static final long QUERY_TIMEOUT_MILLIS = 20_000;

    private static void readFrame(byte... body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(body.length);
        out.write(body);
        Frames.read(new DataInputStream(new ByteArrayInputStream(bytes.toByteArray())));
    }

    /** Guards against a thread that ends by an exception other than that of a broken connection. */
    @Test
    void aBodyThatIsNoMessageIsRejected() {
        assertThrows(IOException.class, () -> readFrame(NIL));
        assertThrows(IOException.class, () -> readFrame((byte) 0xC1));
        assertThrows(IOException.class, () -> readFrame((byte) 0xDB, (byte) 0x7F, NIL, NIL, NIL));
        assertThrows(IOException.class, () -> readFrame((byte) 0x85, (byte) 0xA7));
    }

    /** Guards against a process that ends since a frame of a few bytes states a text of 2 GB. */
    @Test
    void aTextLongerThanItsFrameIsRejectedWithoutRoomForIt() {
        byte[] body = {(byte) 0xDB, (byte) 0x7F, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 'a'};
        IOException thrown = assertThrows(IOException.class, () -> readFrame(body));
        assertThat(thrown).hasMessageThat().contains("cannot be decoded");
    }

    /** Guards against an envelope without a message, which the handler of a server cannot answer. */
    @Test
    void anEnvelopeWithoutAMessageIsRejected() throws Exception {
        byte[] body = Codecs.messagePack().writeValueAsBytes(new Envelope(Envelope.VERSION, 1, false, 5, null));
        assertThrows(IOException.class, () -> readFrame(body));
    }

    /** Guards against queries that wait for the timeout, since the thread that reads replies has ended. */
    @Test
    void aQueryFailsAtOnceWhenTheReplyIsNoMessage() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                WireClient client = WireClient.of((InetSocketAddress) listener.getLocalSocketAddress())) {
            Thread.ofVirtual().start(() -> replyWithNil(listener));
            WireException thrown = assertThrows(
                    WireException.class, () -> client.call(new Message.Explain("r"), QUERY_TIMEOUT_MILLIS));
            assertThat(thrown).hasMessageThat().contains("was lost");
        }
    }

    private static void replyWithNil(ServerSocket listener) {
        try (Socket socket = listener.accept()) {
            Frames.read(new DataInputStream(socket.getInputStream()));
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(1);
            out.writeByte(NIL);
            out.flush();
            socket.getInputStream().read();
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    /** Guards against a server that answers nothing more after one query that its handler cannot answer. */
    @Test
    void aServerAnswersFurtherQueriesAfterOneThatThrows() throws Exception {
        CountDownLatch thrown = new CountDownLatch(1);
        WireServer.Handler handler = (query, deadline) -> {
            if (thrown.getCount() > 0) {
                thrown.countDown();
                throw new IllegalStateException("cannot answer");
            }
            return new Message.Pong();
        };
        InetSocketAddress ephemeral = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (WireServer server = WireServer.start(ephemeral, handler);
                WireClient client = WireClient.of(new InetSocketAddress(ephemeral.getAddress(), server.port()))) {
            assertThrows(WireException.class, () -> client.call(new Message.Explain("r"), 100));
            assertThat(thrown.await(QUERY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .isTrue();
            assertThat(client.call(new Message.Explain("r"), QUERY_TIMEOUT_MILLIS))
                    .isEqualTo(new Message.Pong());
        }
    }
}
