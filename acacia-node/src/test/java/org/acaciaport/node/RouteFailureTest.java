package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.Test;

/** Tests calls of the log one of whose routes ends in an unchecked exception. */
final class RouteFailureTest {
    private static final String TOPIC = "jobs";
    private static final long TIMEOUT_MILLIS = 5_000;

    private final Append append = new Append(TOPIC, List.of(new KeyedRecord("key", new byte[1])), new Append.Always());

    private static long deadline() {
        return Clocks.deadlineAfter(TIMEOUT_MILLIS);
    }

    /** Guards against calls that fail although another route would serve them. */
    @Test
    void aRouteThatThrowsIsFollowedByTheNext() throws Exception {
        MemoryLog memoryLog = new MemoryLog();
        FailoverLog peerLog = new FailoverLog(memoryLog, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerLog)) {
            List<String> peers = List.of("without-a-port", "127.0.0.1:" + peer.port());
            FailoverLog log = new FailoverLog(new ThrowingLog(), new Peers("self:1", () -> peers));
            assertThat(log.append(append, deadline())).isInstanceOf(AppendOutcome.Appended.class);
            assertThat(log.read(TOPIC, 0, 0, deadline())).isInstanceOf(ReadOutcome.Records.class);
            assertThat(log.newest(TOPIC, "", deadline())).isInstanceOf(NewestOutcome.Page.class);
        }
    }

    /** Guards against an append that threw and counts as without effect. */
    @Test
    void anAppendThatThrowsHasAnUnknownOutcome() {
        FailoverLog log = new FailoverLog(new ThrowingLog(), new Peers("self:1", List::of));
        AppendOutcome outcome = log.append(append, deadline());
        assertThat(outcome).isInstanceOf(AppendOutcome.Unknown.class);
        assertThat(((AppendOutcome.Unknown) outcome).reason()).contains("unsupported URI");
    }

    /** Guards against a read that fails without the reason. */
    @Test
    void aReadThatThrowsNamesTheReason() {
        FailoverLog log = new FailoverLog(new ThrowingLog(), new Peers("self:1", List::of));
        ReadOutcome read = log.read(TOPIC, 0, 0, deadline());
        assertThat(((ReadOutcome.Unavailable) read).reason()).contains("unsupported URI");
    }

    /** Guards against a peer that gets no reply to a call that throws at the node that relays it. */
    @Test
    void aRelayedCallThatThrowsIsAnswered() {
        FailoverLog log = new FailoverLog(new ThrowingLog(), new Peers("self:1", List::of));
        Message reply = log.answer(new Message.AppendLog(append), deadline());
        assertThat(((Message.LogAppended) reply).outcome()).isInstanceOf(AppendOutcome.Unknown.class);
    }

    /** A log whose address cannot be called. */
    private static final class ThrowingLog implements KeyedLog {
        @Override
        public AppendOutcome append(Append append, long deadline) {
            throw new IllegalArgumentException("unsupported URI");
        }

        @Override
        public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
            throw new IllegalArgumentException("unsupported URI");
        }

        @Override
        public NewestOutcome newest(String topic, String after, long deadline) {
            throw new IllegalArgumentException("unsupported URI");
        }
    }
}
