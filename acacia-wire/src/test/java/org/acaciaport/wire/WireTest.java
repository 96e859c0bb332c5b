package org.acaciaport.wire;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Adjacency;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.DataCentre;
import org.acaciaport.config.Profile;
import org.acaciaport.config.Shape;
import org.acaciaport.config.Treatment;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.MemberAnswer;
import org.acaciaport.request.Outcome;
import org.junit.jupiter.api.Test;

/** Tests of the encodings and of queries over a connection. */
final class WireTest {
    private static final ActiveConfiguration CONFIGURATION = new ActiveConfiguration(
            7,
            new Configuration(
                    List.of(new DataCentre("kicukiro")),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(new Profile(
                            "proof",
                            new Shape(1, 1, Adjacency.SAME_TARGET),
                            1,
                            1,
                            1,
                            true,
                            true,
                            List.of(Treatment.STOP),
                            List.of(),
                            1_000,
                            1_000))),
            Set.of("kicukiro"));

    @Test
    void messagesRoundTripThroughMessagePack() throws Exception {
        for (Message message : List.of(
                new Message.Submit("a", "p", "k", "payload"),
                new Message.Look(-1),
                new Message.View("kicukiro", true, 3, true, 4, 7, CONFIGURATION),
                new Message.View("kicukiro", true, 3, true, 4, 7, null),
                new Message.Refused(Message.Refused.Kind.KEY_CONFLICT, "r", "m"),
                new Message.Status(
                        "r", "a", "k", "done", new Outcome.Done(List.of(new MemberAnswer(0, "t", "out")))))) {
            Envelope envelope = new Envelope(Envelope.VERSION, 1, true, 5, message);
            byte[] bytes = Codecs.messagePack().writeValueAsBytes(envelope);
            assertThat(Codecs.messagePack().readValue(bytes, Envelope.class)).isEqualTo(envelope);
        }
    }

    @Test
    void logRecordsRoundTripThroughJson() throws Exception {
        LogRecord record = new LogRecord.Published(3, CONFIGURATION.configuration(), "operator-1");
        String json = Codecs.json().writeValueAsString(record);
        assertThat(json).contains("\"record\":\"published\"");
        assertThat(json).contains("\"same-target\"");
        assertThat(Codecs.json().readValue(json, LogRecord.class)).isEqualTo(record);
    }

    @Test
    void unknownFieldsAreRejected() {
        String json =
                "{\"record\":\"voided\",\"request\":\"r\",\"attempt\":1,\"checkpointed\":false,\"colour\":\"red\"}";
        assertThrows(UnrecognizedPropertyException.class, () -> Codecs.json().readValue(json, LogRecord.class));
    }

    @Test
    void oneConnectionCarriesManyQueries() throws Exception {
        InetSocketAddress ephemeral = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        try (WireServer server = WireServer.start(ephemeral, (query, deadline) -> echo(query));
                WireClient client = WireClient.of(new InetSocketAddress(ephemeral.getAddress(), server.port()))) {
            for (int i = 0; i < 100; i++) {
                Message reply = client.call(new Message.Explain("r" + i), 5_000);
                assertThat(reply).isEqualTo(new Message.Explanation(List.of("r" + i)));
            }
        }
    }

    private static Message echo(Message query) {
        return switch (query) {
            case Message.Explain explain -> new Message.Explanation(List.of(explain.request()));
            default -> new Message.Pong();
        };
    }
}
