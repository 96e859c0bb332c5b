package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests failover to relaying peers, the replica of the jobs, and answers to callers, against an in-memory log. */
final class LogAccessTest {
    private static final String TOPIC = "jobs";
    private static final Topics TOPICS = new Topics(TOPIC, "operators", "targets");
    private static final List<Step> STEPS =
            List.of(new Step(1, Resources.NONE, 1, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN));
    private static final OperatorConfiguration.Queue QUEUE =
            new OperatorConfiguration.Queue("q", "host", "/p/", "s", false, new Job.Terms(0, 3, 1.5, 250));
    private static final JobService.Access.Granted ACCESS = new JobService.Access.Granted(QUEUE, "account", "");

    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPIC, failoverLog, new TopicConsumer.PollSettings(0, 0), replica);

    /** Loads the classes that encode records, so that this takes no time from the deadline of the first request. */
    @BeforeAll
    static void loadClasses() throws IOException {
        JobRecords.warmUp();
    }

    private static long shortDeadline() {
        return Clocks.deadlineAfter(300);
    }

    private JobService newJobService(KeyedRecord published) {
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(QUEUE), Map.of("key", "account"), Map.of(), Set.of("s"))));
        configuration.apply(published, 0);
        configuration.caughtUp(Clocks.now(), 1);
        Term.Dependencies dependencies =
                new Term.Dependencies(replica, configuration, null, TOPICS, failoverLog, null, new MetricRegistry());
        return new JobService(dependencies, jobConsumer, 4_000);
    }

    private JobService.Answer submit(JobService jobService, String id) {
        return jobService.submit(ACCESS, id, "payload", STEPS, Job.Schedule.NOW, shortDeadline());
    }

    private AppendOutcome append(KeyedRecord record) {
        return log.append(new Append(TOPIC, List.of(record), new Append.Always()), shortDeadline());
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

    /**
     * Guards against holding requests until their deadline during an outage of the log, and then answering that their
     * outcome is unknown although nothing was written. Callers retry a request that was refused in time, but not one
     * whose outcome was answered as unknown at its deadline.
     */
    @Test
    void requestsAreRefusedImmediatelyWhileTheLogIsUnreachable() {
        log.failure = MemoryLog.Failure.REFUSE;
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Refused.class);
        int calls = log.calls;
        assertThat(submit(jobService, "b")).isInstanceOf(JobService.Answer.Refused.class);
        assertThat(log.calls).isEqualTo(calls);
    }

    /**
     * Guards against callers that wait a second before they retry although only this node is partitioned, so that the
     * retry would reach another node.
     */
    @Test
    void callersOfAnIsolatedNodeRetryImmediately() {
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        log.failure = MemoryLog.Failure.REFUSE;
        submit(jobService, "b");
        assertThat(jobService.retryAfterSeconds()).isEqualTo(1);
        await(() -> jobService.retryAfterSeconds() == 0);
        log.failure = MemoryLog.Failure.NONE;
        jobConsumer.catchUp(shortDeadline());
        assertThat(jobService.retryAfterSeconds()).isEqualTo(1);
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
    void aLostAnswerIsNeverARefusal() {
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        assertThat(submit(newJobService(KeyedRecord.tombstone("config")), "a"))
                .isInstanceOf(JobService.Answer.Undetermined.class);
    }

    /**
     * Guards against holding a request of unknown outcome until its deadline. This happens when a data centre is
     * partitioned during an append; the caller needs the remaining time to try a node that reaches the log.
     */
    @Test
    void aRequestOfUnknownOutcomeIsAnsweredEarlyWhileTheLogIsUnreachable() {
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        long deadline = Clocks.deadlineAfter(2_000);
        JobService.Answer answer = jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, deadline);
        assertThat(answer).isInstanceOf(JobService.Answer.Undetermined.class);
        assertThat(log.calls).isEqualTo(1);
    }

    /**
     * Guards against answering a request with no time left as undetermined, although nothing was sent. This happens to
     * retries that arrive a few milliseconds before their deadline.
     */
    @Test
    void aRequestWithNoTimeLeftIsRefusedAndNotSent() {
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        JobService.Answer answer =
                jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, System.nanoTime());
        assertThat(answer).isInstanceOf(JobService.Answer.Refused.class);
        assertThat(log.calls).isEqualTo(0);
    }

    @Test
    void aRepeatedSubmissionIsOneJobAndKeepsItsProgress() {
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        append(JobRecords.encode(new JobProgress("a", JobState.DONE, 1, List.of(), List.of())));
        submit(jobService, "a");
        assertThat(jobConsumer.catchUp(shortDeadline())).isTrue();
        assertThat(jobService.queryState(ACCESS, "a", shortDeadline()))
                .isEqualTo(new JobService.Answer.State(JobState.DONE));
    }

    @Test
    void aJobOfAnotherAccountIsNotShown() {
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        submit(jobService, "a");
        JobService.Access.Granted other = new JobService.Access.Granted(QUEUE, "other", "a");
        assertThat(jobService.queryState(other, "a", shortDeadline())).isInstanceOf(JobService.Answer.NoJob.class);
        assertThat(jobService.cancel(other, "a", shortDeadline())).isInstanceOf(JobService.Answer.NoJob.class);
    }

    @Test
    void onlyACurrentReplicaReportsThatAJobDoesNotExist() {
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
        assertThat(jobService.queryState(ACCESS, "none", shortDeadline())).isInstanceOf(JobService.Answer.NoJob.class);
        log.failure = MemoryLog.Failure.REFUSE;
        assertThat(jobService.queryState(ACCESS, "none", shortDeadline()))
                .isInstanceOf(JobService.Answer.Refused.class);
    }

    @Test
    void theReplicaIsRebuiltFromASnapshotWhenRecordsHaveExpired() {
        JobService jobService = newJobService(KeyedRecord.tombstone("config"));
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

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aDeposedLeaderCannotAppend() {
        LeaderLogWriter first = new LeaderLogWriter(log, TOPIC, 5);
        assertThat(first.fenceEarlierTerms()).isTrue();
        assertThat(first.append(List.of(KeyedRecord.tombstone("a")))).isTrue();
        assertThat(new LeaderLogWriter(log, TOPIC, 9).fenceEarlierTerms()).isTrue();
        assertThat(first.append(List.of(KeyedRecord.tombstone("b")))).isFalse();
    }

    @Test
    void aLeaderAppendWithALostAnswerIsAppliedOnce() throws Exception {
        LeaderLogWriter writer = new LeaderLogWriter(log, TOPIC, 5);
        assertThat(writer.fenceEarlierTerms()).isTrue();
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

    @Test
    void callsAreAuthorizedOnlyWhileTheConfigurationIsCurrent() {
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(QUEUE), Map.of("key", "account"), Map.of(), Set.of("s"))));
        Term.Dependencies dependencies =
                new Term.Dependencies(replica, configuration, null, TOPICS, failoverLog, null, new MetricRegistry());
        JobService jobService = new JobService(dependencies, jobConsumer, 1);
        assertThat(jobService.authorize("host", "/p/a", "key"))
                .isInstanceOf(JobService.Access.StaleConfiguration.class);
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(new org.acaciaport.pool.ClockReading(System.nanoTime(), 0), 1);
        assertThat(jobService.authorize("host", "/p/a", "key"))
                .isInstanceOf(JobService.Access.StaleConfiguration.class);
    }
}
