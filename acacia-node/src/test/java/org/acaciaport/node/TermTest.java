package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.PoolFeatures;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TaskId;
import org.acaciaport.wire.Codecs;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a term against an in-memory log and target. */
final class TermTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final String SERVICE = "render";
    private static final String TARGET_KEY = "target";

    /** The value of a record that names no target. */
    private static final byte[] UNREADABLE = {2};

    /** Time after which a change of a registration is in force, in milliseconds. */
    private static final long REGISTRATION_MILLIS = 2_000;

    /** Time after the acknowledgement of a cancellation from which no task of the job may start, in milliseconds. */
    private static final long MAX_START_AFTER_CANCEL_MILLIS = 4_000;

    /** Time after which a target without runs is not asked for reports any more, in milliseconds. */
    private static final long IDLE_MILLIS = 1_000;

    /** Longest lease of a target with a slow clock, in milliseconds. */
    private static final long LEASE_MILLIS = 6_300;

    /** Duration of a run, in milliseconds. */
    private static final long RUN_MILLIS = 1_000;

    /** Time that a record takes to the log and back, in milliseconds. */
    private static final long TOLERANCE_MILLIS = 500;

    private final MemoryTarget target = new MemoryTarget();
    private final MemoryLog log = new MemoryLog();
    private final UnreadableLog leaderLog = new UnreadableLog(log);
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final BrokenAppendLog leaderLogWriterLog = new BrokenAppendLog(failoverLog);
    private final Replica replica = new Replica();
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPICS.jobs(), leaderLog, new TopicConsumer.PollSettings(0, 5), replica);
    private volatile SchedulingSettings scheduling = SchedulingSettings.OFF;
    private final MetricRegistry metrics = new MetricRegistry();
    private Term term;
    private Thread thread;

    @AfterEach
    void stop() throws InterruptedException {
        thread.interrupt();
        jobConsumer.stop();
        thread.join();
    }

    private void lead() {
        append(new KeyedRecord(TARGET_KEY, new byte[] {1}));
        jobConsumer.start();
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of(SERVICE))));
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        configuration.setConfirmer(() -> configuration.caughtUp(Clocks.now(), 1));
        LeaderLogWriter logWriter = new LeaderLogWriter(leaderLogWriterLog, TOPICS.jobs(), MemoryLog.LIMITS, 5);
        assertThat(logWriter.fenceEarlierTerms(Clocks.now())).isTrue();
        Term.Dependencies dependencies = new Term.Dependencies(
                replica,
                configuration,
                target,
                TOPICS,
                MemoryLog.LIMITS,
                failoverLog,
                new OneTarget(),
                metrics,
                () -> scheduling);
        EarlierLeases earlierLeases = EarlierLeases.of(replica, 5);
        term = new Term(new LeaderRecord("node", 1, false), 5, logWriter, earlierLeases, dependencies);
        thread = Thread.ofVirtual().start(term::run);
    }

    /** Returns a job whose tasks need a whole target each. */
    private static Job newJob(String id, int count) {
        Resources demand = new Resources(1_000, 1_000, 8);
        return newJob(id, new Step(count, demand, 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN));
    }

    private static Job newJob(String id, Step step) {
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return new Job(id, "queue", SERVICE, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
    }

    private boolean showsEstimates() {
        return metrics.getGauges().keySet().stream().anyMatch(name -> name.startsWith(EstimateMetrics.PREFIX));
    }

    /** Guards against learning that is lost with its leader, and against metrics of a node that no longer leads. */
    @Test
    void aTermWritesWhatItHasLearnedAndShowsItUntilItEnds() throws InterruptedException {
        scheduling = new SchedulingSettings(true, true, false, false);
        append(JobRecords.encode(newJob("a", 1)));
        lead();
        Conditions.await(() -> target.isRunning(new TaskId("a", 0, 0, 0)));
        Clocks.sleep(RUN_MILLIS);
        target.complete(new TaskId("a", 0, 0, 0));
        Clocks.sleep(EstimatesPersistence.INTERVAL_MILLIS);
        Conditions.await(() -> replica.estimates().isPresent());
        assertThat(showsEstimates()).isTrue();
        assertThat(metrics.getGauges()).containsKey("estimates.queue.queue.learned-median");
        thread.interrupt();
        thread.join();
        assertThat(showsEstimates()).isFalse();
    }

    /** Guards against a job that is missing among the pending ones (MIXED), as the leader has tried to start it. */
    @Test
    void aJobIsPendingUntilATargetHasStartedIt() {
        target.refusesStarts = true;
        append(JobRecords.encode(newJob("a", 1)));
        lead();
        Conditions.await(() -> target.refusedStarts >= 2);
        Conditions.await(() -> replica.find("a").progress() != null);
        assertThat(replica.countPending("queue")).isEqualTo(1);
        assertThat(replica.find("a").state()).isEqualTo(JobState.QUEUED);
        target.refusesStarts = false;
        Conditions.await(() -> replica.countPending("queue") == 0);
        assertThat(replica.find("a").state()).isEqualTo(JobState.RUNNING);
    }

    /** Guards against a leader that ends each of its terms because of a record that it could do without. */
    @Test
    void aTermLeadsAlthoughTheLearnedEstimatesAreMalformed() {
        append(new KeyedRecord(JobRecords.ESTIMATES_KEY, new byte[] {1, 2, 3}), JobRecords.encode(newJob("a", 1)));
        try (LogCapture capture = LogCapture.of(EstimatesPersistence.class)) {
            lead();
            Conditions.await(() -> target.started.size() == 1);
            assertThat(capture.messagesContaining("outcome=prior")).hasSize(1);
        }
    }

    /** Guards against a switch that has no effect until the next term. */
    @Test
    void aTermFollowsTheSettings() {
        try (LogCapture capture = LogCapture.of(Pool.class)) {
            lead();
            Conditions.await(() ->
                    capture.messagesContaining(PoolFeatures.NONE.toString()).size() == 1);
            scheduling = new SchedulingSettings(true, true, true, true);
            Conditions.await(() ->
                    capture.messagesContaining(PoolFeatures.ALL.toString()).size() == 1);
        }
    }

    private static long deadline() {
        return Clocks.deadlineAfter(5_000);
    }

    private void append(KeyedRecord... records) {
        log.append(new Append(TOPICS.jobs(), List.of(records), new Append.Always()), deadline());
    }

    /** Under a full pool, guards against nodes that never know the wait, since no term publishes it. */
    @Test
    void aTermPublishesTheWaitWhileWorkWaits() {
        scheduling = new SchedulingSettings(false, false, true, false);
        append(JobRecords.encode(newJob("a", 2)));
        lead();
        Conditions.await(() -> target.started.size() == 1);
        Conditions.await(() -> replica.knowledge()
                .outlook()
                .filter(outlook -> !outlook.isEmpty())
                .isPresent());
        append(JobRecords.encode(new CancelRecord("a", 1)));
        Conditions.await(() -> replica.knowledge()
                .outlook()
                .filter(outlook -> outlook.isEmpty())
                .isPresent());
    }

    /**
     * Guards against starting tasks seconds after their job was cancelled, by a leader whose reads of the log fail
     * while its appends succeed.
     */
    @Test
    void aLeaderThatCannotReadCancellationsStartsNothing() {
        append(JobRecords.encode(newJob("a", 2)));
        lead();
        Conditions.await(() -> target.started.size() == 1);
        leaderLog.readable = false;
        append(JobRecords.encode(new CancelRecord("a", 1)));
        Clocks.sleep(MAX_START_AFTER_CANCEL_MILLIS);
        TaskId first = target.started.get(0);
        target.stop(null, first, 1, 0, 0);
        Clocks.sleep(1_000);
        assertThat(target.started).containsExactly(first);
    }

    /** Guards against a pool in which nothing starts, since its leader cannot read the log and nobody replaces it. */
    @Test
    void aLeaderThatCanOnlyWriteResigns() {
        lead();
        leaderLog.readable = false;
        Conditions.await(() -> !thread.isAlive());
        leaderLog.readable = true;
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        assertThat(replica.leader().record().resigned()).isTrue();
    }

    /** Guards against an idle target that gets no work any more (LOST) after its registration was gone for a while. */
    @Test
    void anIdleTargetGetsWorkAfterItsRegistrationDisappearedAndCameBack() {
        lead();
        TaskId first = new TaskId("a", 0, 0, 0);
        append(JobRecords.encode(newJob("a", 1)));
        Conditions.await(() -> target.isRunning(first));
        append(JobRecords.encode(new CancelRecord("a", 1)));
        Conditions.await(() -> !target.isRunning(first));
        Clocks.sleep(IDLE_MILLIS);
        append(KeyedRecord.tombstone(TARGET_KEY));
        Clocks.sleep(IDLE_MILLIS);
        append(new KeyedRecord(TARGET_KEY, new byte[] {1}));
        append(JobRecords.encode(newJob("b", 1)));
        Conditions.await(() -> target.started.size() == 2);
    }

    /** Guards against tasks that run twice (TWICE), as a report lists only a part of the runs that have ended. */
    @Test
    void tasksWhoseEndsDoNotFitInOneReportRunOnce() {
        target.endsPerReport = 2;
        Step step =
                new Step(5, new Resources(1_000, 1_000, 1), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        append(JobRecords.encode(newJob("a", step)));
        lead();
        Conditions.await(() -> target.started.size() == step.count());
        List<TaskId> tasks = List.copyOf(target.started);
        tasks.forEach(target::complete);
        Conditions.await(() -> stateOf("a") == JobState.DONE);
        assertThat(target.started).isEqualTo(tasks);
    }

    private JobState stateOf(String id) {
        return replica.find(id).state();
    }

    /** Returns whether the log has a record of the target whose leases run out. */
    private boolean hasLeaseRecord(String id) {
        ReadOutcome.Records read = (ReadOutcome.Records) log.read(TOPICS.jobs(), 0, 0, deadline());
        boolean recorded = false;
        for (KeyedRecord record : read.records()) {
            if (record.key().equals(JobRecords.LEASE_PREFIX + id)) {
                recorded = record.value().length > 0;
            }
        }
        return recorded;
    }

    /** Guards against a later leader that does not know of a lease (TWICE), as a record says that leases run out. */
    @Test
    void aTargetWhoseLeasesRunOutGetsOneOnlyOnceItsRecordIsDeleted() {
        append(JobRecords.encode(newJob("a", 1)));
        lead();
        TaskId task = new TaskId("a", 0, 0, 0);
        Conditions.await(() -> target.isRunning(task));
        AtomicInteger leases = new AtomicInteger();
        AtomicInteger early = new AtomicInteger();
        target.onLease = () -> {
            leases.incrementAndGet();
            early.addAndGet(hasLeaseRecord("t") ? 1 : 0);
        };
        target.silent = true;
        Conditions.await(() -> hasLeaseRecord("t"));
        long remainingNanos = replica.leaseEndNanos().getOrDefault("t", System.nanoTime()) - System.nanoTime();
        assertThat(remainingNanos).isLessThan(LEASE_MILLIS * Clocks.NANOS_PER_MILLI);
        leases.set(0);
        target.silent = false;
        Conditions.await(() -> leases.get() > 0);
        assertThat(early.get()).isEqualTo(0);
        assertThat(hasLeaseRecord("t")).isFalse();
        assertThat(target.started).containsExactly(task);
    }

    /** Guards against a task that stays bound to a target that is gone (LOST), as each term counts its leases anew. */
    @Test
    void aLaterTermDoesNotCountTheLeasesOfAGoneTargetAnew() {
        JobProgress.Task bound = new JobProgress.Task(0, 0, 0, 1, 0, false, "gone", 1, "");
        JobProgress progress = new JobProgress("a", JobState.RUNNING, 0, List.of(), List.of(bound));
        append(JobRecords.encode(newJob("a", 1)), JobRecords.encode(progress));
        lead();
        long latest = TargetLease.latestEndNanos(Clocks.deadlineAfter(Term.MAX_UNCONFIRMED_MILLIS));
        Conditions.await(() -> replica.leaseEndNanos().containsKey("gone"));
        Clocks.sleep(IDLE_MILLIS);
        EarlierLeases later = EarlierLeases.of(replica, replica.nextOffset());
        assertThat(later.areRunningOut("gone")).isTrue();
        assertThat(later.endNanos("gone") - latest).isLessThan(TOLERANCE_MILLIS * Clocks.NANOS_PER_MILLI);
        assertThat(later.endNanos("other") - latest).isGreaterThan(IDLE_MILLIS * Clocks.NANOS_PER_MILLI);
    }

    /** Guards against a task that waits for ever, since the call that was to start it threw. */
    @Test
    void aTaskWhoseStartThrowsRunsInTheEnd() {
        target.startsToThrow = 2;
        append(JobRecords.encode(newJob("a", 1)));
        lead();
        Conditions.await(() -> target.isRunning(new TaskId("a", 0, 0, 0)));
        assertThat(target.started).hasSize(1);
    }

    /**
     * Guards against a term that holds back its records and commands for ever, since one append threw and counts as in
     * progress.
     */
    @Test
    void anAppendThatThrowsEndsTheTerm() {
        lead();
        Conditions.await(() -> replica.leader() != null);
        try (LogCapture capture = LogCapture.of(Term.class)) {
            leaderLogWriterLog.broken = true;
            Conditions.await(() -> !thread.isAlive());
            assertThat(capture.messagesContaining("outcome=ended reason=append failed: "))
                    .hasSize(1);
        }
    }

    /** Guards against a job that ends the term of each leader in turn, so that no job is run any more. */
    @Test
    void aJobThatThePoolCannotTakeKeepsNoOtherJobFromRunning() throws Exception {
        append(encodeOddJob("b"), JobRecords.encode(newJob("c", 1)));
        append(JobRecords.encode(new CancelRecord("b", 1)));
        append(encodeOddJob("d"));
        append(JobRecords.encode(new JobProgress("d", JobState.RUNNING, 0, List.of(), List.of())));
        lead();
        Conditions.await(() -> target.isRunning(new TaskId("c", 0, 0, 0)));
        append(encodeOddJob("e"), JobRecords.encode(new CancelRecord("c", 1)));
        append(JobRecords.encode(newJob("f", 1)));
        Conditions.await(() -> target.isRunning(new TaskId("f", 0, 0, 0)));
    }

    /** Returns the record of a job whose only step comes after one that does not exist. */
    private static KeyedRecord encodeOddJob(String id) throws IOException {
        KeyedRecord sound = JobRecords.encode(newJob(id, 1));
        JsonNode job = Codecs.messagePack().readTree(sound.value());
        ((ObjectNode) job.at("/steps/0")).putArray("after").add(7);
        return new KeyedRecord(sound.key(), Codecs.messagePack().writeValueAsBytes(job));
    }

    /** Guards against a term that ends by an exception and leaves its threads and its subscriptions behind. */
    @Test
    void aTermThatThrowsEndsWithTheReason() {
        lead();
        Conditions.await(() -> replica.leader() != null);
        try (LogCapture capture = LogCapture.of(Term.class)) {
            term.sessionEvents().reported(null);
            Conditions.await(() -> !thread.isAlive());
            assertThat(capture.messagesContaining("outcome=ended reason=failed: java.lang.NullPointerException"))
                    .hasSize(1);
        }
        assertThat(term.isLeading()).isFalse();
    }

    /** A log whose reads can be made to fail. */
    private static final class UnreadableLog implements KeyedLog {
        private final KeyedLog log;
        volatile boolean readable = true;

        UnreadableLog(KeyedLog log) {
            this.log = log;
        }

        @Override
        public AppendOutcome append(Append append, long deadline) {
            return log.append(append, deadline);
        }

        @Override
        public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
            return readable ? log.read(topic, from, waitMillis, deadline) : new ReadOutcome.Unavailable("lost");
        }

        @Override
        public NewestOutcome newest(String topic, String after, long deadline) {
            return readable ? log.newest(topic, after, deadline) : new NewestOutcome.Unavailable("lost");
        }
    }

    /** Guards against work for a target whose registration another program has replaced by one that names none. */
    @Test
    void aTargetWhoseRegistrationBecameUnreadableGetsNoNewWork() {
        lead();
        append(JobRecords.encode(job("first")));
        Conditions.await(() -> target.started.size() == 1);
        append(new KeyedRecord(TARGET_KEY, UNREADABLE));
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        Clocks.sleep(REGISTRATION_MILLIS);
        append(JobRecords.encode(job("second")));
        Clocks.sleep(REGISTRATION_MILLIS);
        assertThat(target.started).hasSize(1);
        append(new KeyedRecord(TARGET_KEY, new byte[] {1}));
        Conditions.await(() -> target.started.size() == 2);
    }

    private static Job job(String id) {
        return newJob(
                id,
                new Step(1, new Resources(1_000, 1_000, 1), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN));
    }

    /** Decodes the registration of a single target; the in-memory log has the records of all topics in one. */
    private static final class OneTarget implements TargetRecordDecoder {
        @Override
        public Optional<String> targetId(KeyedRecord record) {
            return record.key().equals(TARGET_KEY) ? Optional.of("t") : Optional.empty();
        }

        @Override
        public Optional<TargetInfo> decodeTarget(KeyedRecord record) {
            if (Arrays.equals(record.value(), UNREADABLE)) {
                return Optional.empty();
            }
            Resources capacity = new Resources(32_000, 64_000, 8);
            return Optional.of(new TargetInfo("t", SERVICE, "host:1", "dc", "rack", Set.of(), capacity, false, 0, 1));
        }
    }
}
