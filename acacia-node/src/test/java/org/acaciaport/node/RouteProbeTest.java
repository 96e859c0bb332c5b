package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.Test;

/** Tests reads while the log leaves the calls of this node unanswered and a peer relays them. */
final class RouteProbeTest {
    private static final String TOPIC = "jobs";

    /** How long the test reads, in milliseconds. */
    private static final long READING_MILLIS = 3_000;

    /** Longest time that a relayed read may take, in milliseconds. */
    private static final long MAX_READ_MILLIS = 700;

    /** Time for one probe of a route that answers, in milliseconds; shorter than the interval between probes. */
    private static final long PROBE_MILLIS = 200;

    /** A log that answers no call by its deadline. */
    private static final class SilentLog implements KeyedLog {
        private final AtomicInteger reads = new AtomicInteger();

        @Override
        public AppendOutcome append(Append append, long deadline) {
            Clocks.sleep(Math.max(0, Clocks.millisUntil(deadline)));
            return new AppendOutcome.Unknown("silent");
        }

        @Override
        public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
            reads.incrementAndGet();
            Clocks.sleep(Math.max(0, Clocks.millisUntil(deadline)));
            return new ReadOutcome.Unavailable("silent");
        }

        @Override
        public NewestOutcome newest(String topic, String after, long deadline) {
            Clocks.sleep(Math.max(0, Clocks.millisUntil(deadline)));
            return new NewestOutcome.Unavailable("silent");
        }
    }

    /** Guards against reads that wait until a probe of the failing direct route has timed out. */
    @Test
    void relayedReadsDoNotWaitForProbes() throws Exception {
        SilentLog silent = new SilentLog();
        FailoverLog peerLog = new FailoverLog(new MemoryLog(), new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerLog)) {
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            FailoverLog log = new FailoverLog(silent, new Peers("self:1", () -> peers));
            log.read(TOPIC, 0, 0, Clocks.deadlineAfter(READING_MILLIS));
            int readsBefore = silent.reads.get();
            long longestMillis = 0;
            long end = Clocks.deadlineAfter(READING_MILLIS);
            while (Clocks.millisUntil(end) > 0) {
                long start = System.nanoTime();
                ReadOutcome outcome = log.read(TOPIC, 0, 0, Clocks.deadlineAfter(READING_MILLIS));
                longestMillis = Math.max(longestMillis, -Clocks.millisUntil(start));
                assertThat(outcome).isInstanceOf(ReadOutcome.Records.class);
                Clocks.sleep(10);
            }
            assertThat(longestMillis).isLessThan(MAX_READ_MILLIS);
            assertThat(silent.reads.get()).isGreaterThan(readsBefore);
        }
    }

    /**
     * Guards against reads and appends that wait for slow peers long after a single failed call on the direct route.
     */
    @Test
    void theDirectRouteIsProbedAsSoonAsItFails() throws Exception {
        MemoryLog direct = new MemoryLog();
        FailoverLog silentPeer = new FailoverLog(new SilentLog(), new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), silentPeer)) {
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            FailoverLog log = new FailoverLog(direct, new Peers("self:1", () -> peers));
            assertThat(log.read(TOPIC, 0, 0, Clocks.deadlineAfter(READING_MILLIS)))
                    .isInstanceOf(ReadOutcome.Records.class);
            direct.failure = MemoryLog.Failure.REFUSE_ONCE;
            Thread reader = Thread.ofVirtual().start(() -> log.read(TOPIC, 0, 0, Clocks.deadlineAfter(READING_MILLIS)));
            long deadline = Clocks.deadlineAfter(READING_MILLIS);
            while (direct.failure != MemoryLog.Failure.NONE && Clocks.millisUntil(deadline) > 0) {
                Clocks.sleep(1);
            }
            long start = System.nanoTime();
            Clocks.sleep(PROBE_MILLIS);
            assertThat(log.read(TOPIC, 0, 0, Clocks.deadlineAfter(READING_MILLIS)))
                    .isInstanceOf(ReadOutcome.Records.class);
            assertThat(-Clocks.millisUntil(start)).isLessThan(MAX_READ_MILLIS);
            reader.join();
        }
    }
}
