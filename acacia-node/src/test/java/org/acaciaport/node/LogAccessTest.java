package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
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
import org.junit.jupiter.api.Test;

/** Ways to the log, the copy of the jobs, and what callers are told, against a log in memory. */
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
    private final FailoverLog routes = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer follower =
            new TopicConsumer(TOPIC, routes, new TopicConsumer.PollSettings(0, 0), replica);

    private static long soon() {
        return Clocks.in(300);
    }

    private JobService jobService(KeyedRecord published) {
        ConfigurationView operators = new ConfigurationView(record -> new OperatorCodec.Published(
                new OperatorConfiguration(1, List.of(QUEUE), Map.of("key", "account"), Map.of(), Set.of("s"))));
        operators.apply(published, 0);
        operators.caughtUp(Clocks.now(), 1);
        Term.Dependencies dependencies = new Term.Dependencies(replica, operators, null, TOPICS, routes, null);
        return new JobService(dependencies, follower, 4_000, new MetricRegistry());
    }

    private JobService.Answer submit(JobService jobService, String id) {
        return jobService.submit(ACCESS, id, "payload", STEPS, Job.Schedule.NOW, soon());
    }

    private AppendOutcome append(KeyedRecord record) {
        return log.append(new Append(TOPIC, List.of(record), new Append.Always()), soon());
    }

    @Test
    void aPeerIsAskedWhileTheLogTurnsThisNodeAway() throws Exception {
        MemoryLog shared = new MemoryLog();
        FailoverLog peerRoutes = new FailoverLog(shared, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerRoutes)) {
            log.failure = MemoryLog.Failure.REFUSE;
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            FailoverLog turnedAway = new FailoverLog(log, new Peers("self:1", () -> peers));
            Append append = new Append(TOPIC, List.of(KeyedRecord.drop("k")), new Append.Always());
            assertThat(turnedAway.append(append, Clocks.in(5_000))).isInstanceOf(AppendOutcome.Appended.class);
            assertThat(turnedAway.reachable()).isTrue();
            ReadOutcome read = turnedAway.read(TOPIC, 0, 0, Clocks.in(5_000));
            assertThat(((ReadOutcome.Records) read).records()).hasSize(1);
        }
    }

    /**
     * Pattern: the store turns most nodes away. Each call tried the same three peers, so that a node whose first three
     * were turned away as well never found the one that was not.
     */
    @Test
    void everyPeerHasItsTurn() throws Exception {
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
            FailoverLog ways = new FailoverLog(log, new Peers("self:1", () -> peers));
            Append append = new Append(TOPIC, List.of(KeyedRecord.drop("k")), new Append.Always());
            ways.append(append, Clocks.in(5_000));
            assertThat(ways.append(append, Clocks.in(5_000))).isInstanceOf(AppendOutcome.Appended.class);
        }
    }

    /** A log that does something before each read. */
    private record Watched(KeyedLog log, Runnable beforeRead) implements KeyedLog {
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
     * Pattern: the store turns some nodes away for long. They relay through peers, but each probe of the direct way
     * made them refuse requests until the next relayed call had been answered.
     */
    @Test
    void aNodeThatRelaysThroughPeersDoesNotRefuseWhileItProbes() throws Exception {
        List<Boolean> seen = new CopyOnWriteArrayList<>();
        AtomicReference<FailoverLog> turnedAway = new AtomicReference<>();
        KeyedLog shared =
                new Watched(new MemoryLog(), () -> seen.add(turnedAway.get().reachable()));
        FailoverLog peerRoutes = new FailoverLog(shared, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerRoutes)) {
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            turnedAway.set(new FailoverLog(log, new Peers("self:1", () -> peers)));
            log.failure = MemoryLog.Failure.REFUSE;
            turnedAway.get().read(TOPIC, 0, 0, Clocks.in(5_000));
            seen.clear();
            int probes = log.calls;
            while (log.calls < probes + 2) {
                turnedAway.get().read(TOPIC, 0, 0, Clocks.in(5_000));
            }
        }
        assertThat(seen).doesNotContain(false);
    }

    /**
     * Pattern: an outage of the store. Requests used to wait out their deadline and end with an answer after which the
     * caller may not repeat them.
     */
    @Test
    void requestsAreRefusedAtOnceWhileNoWayToTheLogWorks() {
        log.failure = MemoryLog.Failure.REFUSE;
        JobService jobService = jobService(KeyedRecord.drop("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Refused.class);
        int calls = log.calls;
        assertThat(submit(jobService, "b")).isInstanceOf(JobService.Answer.Refused.class);
        assertThat(log.calls).isEqualTo(calls);
    }

    /** Pattern: one node is cut off. Its callers used to pause a second although the next try reaches another node. */
    @Test
    void callersOfANodeThatIsCutOffAloneNeedNotPause() {
        JobService jobService = jobService(KeyedRecord.drop("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        log.failure = MemoryLog.Failure.REFUSE;
        submit(jobService, "b");
        assertThat(jobService.retryAfterSeconds()).isEqualTo(1);
        await(() -> jobService.retryAfterSeconds() == 0);
        log.failure = MemoryLog.Failure.NONE;
        follower.catchUp(soon());
        assertThat(jobService.retryAfterSeconds()).isEqualTo(1);
    }

    /** Pattern: an outage of the log, in which the others are reachable and no better off. */
    @Test
    void callersPauseWhileNobodyReachesTheLog() throws Exception {
        FailoverLog peerRoutes = new FailoverLog(log, new Peers("peer", List::of));
        try (WireServer peer = WireServer.start(new InetSocketAddress("127.0.0.1", 0), peerRoutes)) {
            List<String> peers = List.of("127.0.0.1:" + peer.port());
            FailoverLog ways = new FailoverLog(log, new Peers("self:1", () -> peers));
            log.failure = MemoryLog.Failure.REFUSE;
            for (int i = 0; i < 15; i++) {
                ways.read(TOPIC, 0, 0, Clocks.in(2_000));
                Clocks.sleep(100);
            }
            assertThat(ways.reachable()).isFalse();
            assertThat(ways.alone()).isFalse();
        }
    }

    @Test
    void aLostAnswerIsNeverARefusal() {
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        assertThat(submit(jobService(KeyedRecord.drop("config")), "a"))
                .isInstanceOf(JobService.Answer.Undetermined.class);
    }

    /**
     * Pattern: a zone is cut while an append is on its way. The request used to be held to its deadline, so that the
     * caller could not try a node that reaches the log.
     */
    @Test
    void aRequestOfUnknownOutcomeIsNotHeldWhileTheLogCannotBeReached() {
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        JobService jobService = jobService(KeyedRecord.drop("config"));
        long deadline = Clocks.in(2_000);
        JobService.Answer answer = jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, deadline);
        assertThat(answer).isInstanceOf(JobService.Answer.Undetermined.class);
        assertThat(log.calls).isEqualTo(1);
    }

    /** Pattern: retries arrive with a few milliseconds left; they used to be answered as if something had been sent. */
    @Test
    void withoutTimeLeftNothingIsSentAndTheRequestIsRefused() {
        JobService jobService = jobService(KeyedRecord.drop("config"));
        JobService.Answer answer =
                jobService.submit(ACCESS, "a", "payload", STEPS, Job.Schedule.NOW, System.nanoTime());
        assertThat(answer).isInstanceOf(JobService.Answer.Refused.class);
        assertThat(log.calls).isEqualTo(0);
    }

    @Test
    void aRepeatedSubmissionIsOneJobAndKeepsItsProgress() {
        JobService jobService = jobService(KeyedRecord.drop("config"));
        assertThat(submit(jobService, "a")).isInstanceOf(JobService.Answer.Accepted.class);
        append(JobRecords.progress(new JobProgress("a", JobState.DONE, 1, List.of(), List.of())));
        submit(jobService, "a");
        assertThat(follower.catchUp(soon())).isTrue();
        assertThat(jobService.queryState(ACCESS, "a", soon())).isEqualTo(new JobService.Answer.State(JobState.DONE));
    }

    @Test
    void aJobOfAnotherAccountIsNotShown() {
        JobService jobService = jobService(KeyedRecord.drop("config"));
        submit(jobService, "a");
        JobService.Access.Granted other = new JobService.Access.Granted(QUEUE, "other", "a");
        assertThat(jobService.queryState(other, "a", soon())).isInstanceOf(JobService.Answer.NoJob.class);
        assertThat(jobService.cancel(other, "a", soon())).isInstanceOf(JobService.Answer.NoJob.class);
    }

    @Test
    void aJobIsSaidNotToExistOnlyByACurrentCopy() {
        JobService jobService = jobService(KeyedRecord.drop("config"));
        assertThat(jobService.queryState(ACCESS, "none", soon())).isInstanceOf(JobService.Answer.NoJob.class);
        log.failure = MemoryLog.Failure.REFUSE;
        assertThat(jobService.queryState(ACCESS, "none", soon())).isInstanceOf(JobService.Answer.Refused.class);
    }

    @Test
    void theCopyIsMadeAnewWhenHistoryIsForgotten() {
        JobService jobService = jobService(KeyedRecord.drop("config"));
        submit(jobService, "a");
        assertThat(follower.catchUp(soon())).isTrue();
        submit(jobService, "b");
        submit(jobService, "c");
        log.forgetHistory();
        assertThat(follower.catchUp(soon())).isTrue();
        assertThat(replica.find("a")).isNotNull();
        assertThat(replica.find("c")).isNotNull();
    }

    /**
     * Pattern: an outage of the store ends. Nodes used to refuse keyed calls for a second longer, since the first read
     * waited for news before it showed that the copy is current.
     */
    @Test
    void theFirstReadAfterAnOutageDoesNotWaitForNews() {
        TopicConsumer waiting = new TopicConsumer(TOPIC, log, new TopicConsumer.PollSettings(1_000, 1), replica);
        waiting.start();
        await(() -> log.waits.contains(1_000L));
        log.failure = MemoryLog.Failure.REFUSE;
        int before = log.calls;
        await(() -> log.calls > before + 1);
        log.waits.clear();
        log.failure = MemoryLog.Failure.NONE;
        await(() -> !log.waits.isEmpty());
        waiting.stop();
        assertThat(log.waits.get(0)).isEqualTo(0);
    }

    private static void await(BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void aDeposedLeaderWritesNothingMore() {
        LeaderLogWriter first = new LeaderLogWriter(log, TOPIC, 5);
        assertThat(first.bar()).isTrue();
        assertThat(first.append(List.of(KeyedRecord.drop("a")))).isTrue();
        assertThat(new LeaderLogWriter(log, TOPIC, 9).bar()).isTrue();
        assertThat(first.append(List.of(KeyedRecord.drop("b")))).isFalse();
    }

    @Test
    void anAppendOfTheLeaderWhoseAnswerWasLostIsAppliedOnce() throws Exception {
        LeaderLogWriter term = new LeaderLogWriter(log, TOPIC, 5);
        assertThat(term.bar()).isTrue();
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        Thread append = Thread.ofVirtual().start(() -> term.append(List.of(KeyedRecord.drop("a"))));
        while (log.calls < 3) {
            Thread.onSpinWait();
        }
        log.failure = MemoryLog.Failure.NONE;
        append.join();
        ReadOutcome read = log.read(TOPIC, 0, 0, soon());
        assertThat(((ReadOutcome.Records) read).records()).hasSize(1);
    }

    @Test
    void keysAreServedOnlyWhileTheConfigurationIsCurrent() {
        ConfigurationView operators = new ConfigurationView(record -> new OperatorCodec.Published(
                new OperatorConfiguration(1, List.of(QUEUE), Map.of("key", "account"), Map.of(), Set.of("s"))));
        Term.Dependencies dependencies = new Term.Dependencies(replica, operators, null, TOPICS, routes, null);
        JobService jobService = new JobService(dependencies, follower, 1, new MetricRegistry());
        assertThat(jobService.authorize("host", "/p/a", "key"))
                .isInstanceOf(JobService.Access.StaleConfiguration.class);
        operators.apply(KeyedRecord.drop("config"), 0);
        operators.caughtUp(new org.acaciaport.pool.ClockReading(System.nanoTime(), 0), 1);
        assertThat(jobService.authorize("host", "/p/a", "key"))
                .isInstanceOf(JobService.Access.StaleConfiguration.class);
    }
}
