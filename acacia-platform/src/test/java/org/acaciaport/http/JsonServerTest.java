package org.acaciaport.http;

import static com.google.common.truth.Truth.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests a planned stop of a server, against a caller that reads slowly. */
final class JsonServerTest {
    /** Length of a response that does not fit into the buffers of a connection, in bytes. */
    private static final int BODY_BYTES = 64 << 20;

    private static final long DRAIN_MILLIS = 30_000;
    private static final long SLOW_READ_MILLIS = 500;

    /** Guards against a caller whose connection ends without its whole answer (LOST), since the server stops. */
    @Test
    void aDrainWaitsUntilResponsesHaveBeenWritten() throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        String body = "a".repeat(BODY_BYTES);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        JsonServer server = JsonServer.start(new InetSocketAddress(loopback, 0), call -> {
            handled.countDown();
            return HttpReply.ok(body);
        });
        try (Socket socket = new Socket(loopback, server.port())) {
            String request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            assertThat(handled.await(DRAIN_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
            Thread drain = Thread.ofVirtual().start(() -> drain(server));
            Thread.sleep(SLOW_READ_MILLIS);
            assertThat(readAll(socket.getInputStream())).isAtLeast((long) BODY_BYTES);
            drain.join();
        }
    }

    private static void drain(JsonServer server) {
        try {
            server.drain(DRAIN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long readAll(InputStream in) throws Exception {
        return in.transferTo(OutputStream.nullOutputStream());
    }
}
