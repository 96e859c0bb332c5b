package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.acaciaport.node.LogAccessFixture.TOPIC;
import static org.acaciaport.node.LogAccessFixture.await;
import static org.acaciaport.node.LogAccessFixture.shortDeadline;
import static org.acaciaport.node.LogAccessFixture.submit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests failover to relaying peers, the replica of the jobs, and appends of leaders, against an in-memory log. */
final class LogAccessTest {
    private final LogAccessFixture fixture = new LogAccessFixture();
    private final MemoryLog log = fixture.log;
    private final Replica replica = fixture.replica;
    private final TopicConsumer jobConsumer = fixture.jobConsumer;

    @BeforeAll
    static void loadClasses() throws IOException {
        LogAccessFixture.loadClasses();
    }

    @Test
    void callsAreRelayedThroughAPeerWhileTheLogRefusesThisNode() throws Exception {
        MemoryLog shared = new MemoryLog();
        FailoverLog peerLog = new FailoverLog(shared, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerLog)) {
            log.failure = MemoryLog.Failure.REFUSE;
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            FailoverLog refusedLog = new FailoverLog(log, new Peers("self:1", () -> peers));
            Append append = new Append(TOPIC, List.of(KeyedRecord.tombstone("k")), new Append.Always());
            assertThat(refusedLog.append(append, Clocks.deadlineAfter(5_000)))
                    .isInstanceOf(AppendOutcome.Appended.class);
            assertThat(refusedLog.isReachable()).isTrue();
            ReadOutcome read = refusedLog.read(TOPIC, 0, 0, Clocks.deadlineAfter(5_000));
            assertThat(((ReadOutcome.Records) read).records()).hasSize(1);
        }
    }

    /**
     * Guards against always relaying through the same three peers. When the log refuses most nodes, those three may
     * be refused too, while another peer could relay.
     */
    @Test
    void everyPeerIsTriedEventually() throws Exception {
        MemoryLog refusing = new MemoryLog();
        refusing.failure = MemoryLog.Failure.REFUSE;
        log.failure = MemoryLog.Failure.REFUSE;
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (WireServer one = WireServer.start(any, new FailoverLog(refusing, new Peers("", List::of)));
                WireServer two = WireServer.start(any, new FailoverLog(refusing, new Peers("", List::of)));
                WireServer three = WireServer.start(any, new FailoverLog(refusing, new Peers("", List::of)));
                WireServer four = WireServer.start(any, new FailoverLog(new MemoryLog(), new Peers("", List::of)))) {
            List<String> peers = Stream.of(one, two, three, four)
                    .map(peer -> "127.0.0.1:" + peer.port())
                    .toList();
            FailoverLog refusedLog = new FailoverLog(log, new Peers("self:1", () -> peers));
            Append append = new Append(TOPIC, List.of(KeyedRecord.tombstone("k")), new Append.Always());
            refusedLog.append(append, Clocks.deadlineAfter(5_000));
            assertThat(refusedLog.append(append, Clocks.deadlineAfter(5_000)))
                    .isInstanceOf(AppendOutcome.Appended.class);
        }
    }

    /** A log that runs an action before each read. */
    private record ObservedLog(KeyedLog log, Runnable beforeRead) implements KeyedLog {
        @Override
        public AppendOutcome append(Append append, long deadline) {
            return log.append(append, deadline);
        }

        @Override
        public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
            beforeRead.run();
            return log.read(topic, from, waitMillis, deadline);
        }

        @Override
        public NewestOutcome newest(String topic, String after, long deadline) {
            return log.newest(topic, after, deadline);
        }
    }

    /**
     * Guards against refusing requests while a failing direct route is probed. When the log refuses a node for a long
     * time, each failed probe must not count as an unreachable log, since calls still succeed through peers.
     */
    @Test
    void theLogStaysReachableWhileTheDirectRouteIsProbed() throws Exception {
        List<Boolean> seen = new CopyOnWriteArrayList<>();
        AtomicReference<FailoverLog> refusedLog = new AtomicReference<>();
        KeyedLog shared =
                new ObservedLog(new MemoryLog(), () -> seen.add(refusedLog.get().isReachable()));
        FailoverLog peerLog = new FailoverLog(shared, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerLog)) {
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            refusedLog.set(new FailoverLog(log, new Peers("self:1", () -> peers)));
            log.failure = MemoryLog.Failure.REFUSE;
            refusedLog.get().read(TOPIC, 0, 0, Clocks.deadlineAfter(5_000));
            seen.clear();
            int probes = log.calls;
            while (log.calls < probes + 2) {
                refusedLog.get().read(TOPIC, 0, 0, Clocks.deadlineAfter(5_000));
            }
        }
        assertThat(seen).doesNotContain(false);
    }

    /** During an outage of the log, reachable peers show that this node is not isolated, so callers must pause. */
    @Test
    void aNodeWithReachablePeersIsNotIsolatedDuringAnOutageOfTheLog() throws Exception {
        FailoverLog peerLog = new FailoverLog(log, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerLog)) {
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            FailoverLog refusedLog = new FailoverLog(log, new Peers("self:1", () -> peers));
            log.failure = MemoryLog.Failure.REFUSE;
            for (int i = 0; i < 15; i++) {
                refusedLog.read(TOPIC, 0, 0, Clocks.deadlineAfter(2_000));
                Clocks.sleep(100);
            }
            assertThat(refusedLog.isReachable()).isFalse();
            assertThat(refusedLog.isIsolated()).isFalse();
        }
    }

    @Test
    void theReplicaIsRebuiltFromASnapshotWhenRecordsHaveExpired() {
        JobService jobService = fixture.newJobService(KeyedRecord.tombstone("config"));
        submit(jobService, "a");
        assertThat(jobConsumer.catchUp(shortDeadline())).isTrue();
        submit(jobService, "b");
        submit(jobService, "c");
        log.expireRecords();
        assertThat(jobConsumer.catchUp(shortDeadline())).isTrue();
        assertThat(replica.find("a")).isNotNull();
        assertThat(replica.find("c")).isNotNull();
    }

    /**
     * Guards against refusing calls for a second after an outage of the log. This happens if the first read waits for
     * new records before it shows that the configuration is current.
     */
    @Test
    void theFirstReadAfterAnOutageDoesNotWaitForNewRecords() {
        TopicConsumer waitingConsumer =
                new TopicConsumer(TOPIC, log, new TopicConsumer.PollSettings(1_000, 1), replica);
        waitingConsumer.start();
        await(() -> log.readWaits.contains(1_000L));
        log.failure = MemoryLog.Failure.REFUSE;
        int before = log.calls;
        await(() -> log.calls > before + 1);
        log.readWaits.clear();
        log.failure = MemoryLog.Failure.NONE;
        await(() -> !log.readWaits.isEmpty());
        waitingConsumer.stop();
        assertThat(log.readWaits.get(0)).isEqualTo(0);
    }

    @Test
    void aDeposedLeaderCannotAppend() {
        LeaderLogWriter first = new LeaderLogWriter(log, TOPIC, MemoryLog.LIMITS, 5);
        assertThat(first.fenceEarlierTerms(Clocks.now())).isTrue();
        assertThat(first.append(List.of(KeyedRecord.tombstone("a")))).isEqualTo(new LeaderLogWriter.Result.Durable());
        assertThat(new LeaderLogWriter(log, TOPIC, MemoryLog.LIMITS, 9).fenceEarlierTerms(Clocks.now()))
                .isTrue();
        assertThat(first.append(List.of(KeyedRecord.tombstone("b")))).isEqualTo(new LeaderLogWriter.Result.Ended());
    }

    @Test
    void aLeaderAppendWithALostAnswerIsAppliedOnce() throws Exception {
        LeaderLogWriter writer = new LeaderLogWriter(log, TOPIC, MemoryLog.LIMITS, 5);
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        Thread append = Thread.ofVirtual().start(() -> writer.append(List.of(KeyedRecord.tombstone("a"))));
        while (log.calls < 3) {
            Thread.onSpinWait();
        }
        log.failure = MemoryLog.Failure.NONE;
        append.join();
        ReadOutcome read = log.read(TOPIC, 0, 0, shortDeadline());
        assertThat(((ReadOutcome.Records) read).records()).hasSize(1);
    }
}
