package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;
import org.junit.jupiter.api.Test;

/** Tests how much a leader writes to the log, with targets and a log in memory. */
final class LogVolumeTest {
    private static final Topics TOPICS = new Topics("jobs", "operators", "targets");
    private static final VmCapacity CAPACITY = new VmCapacity(1, 100);
    private static final LeaderRecord SELF = new LeaderRecord("node", 1_000, false);
    private static final String TARGET_PREFIX = "target/";
    private static final long TIMEOUT_MILLIS = TimeUnit.SECONDS.toMillis(60);
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int TARGET_COUNT = 4;
    private static final int TASK_COUNT = 200;

    /** Room for the record of a start, that of an end, and the deletion of both. */
    private static final int MAX_BYTES_PER_TASK = 1_000;

    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPICS.jobs(), failoverLog, new TopicConsumer.PollSettings(0, 1), replica);

    private LeaderElection newElection() {
        ConfigurationView configuration = new ConfigurationView(record -> new OperatorRecordDecoder.Published(
                new OperatorConfiguration(1, List.of(), Map.of(), Map.of(), Set.of("service"))));
        configuration.apply(KeyedRecord.tombstone("config"), 0);
        configuration.caughtUp(Clocks.now(), 1);
        configuration.setConfirmer(() -> configuration.caughtUp(Clocks.now(), 1));
        Term.Dependencies dependencies = new Term.Dependencies(
                replica,
                configuration,
                new SequentialTargets(),
                TOPICS,
                log.limits,
                failoverLog,
                new TargetRecords(),
                new MetricRegistry(),
                () -> SchedulingSettings.OFF);
        return new LeaderElection(SELF, CAPACITY, dependencies, jobConsumer, new SplittableRandom(1));
    }

    private void append(KeyedRecord record) {
        log.append(new Append(TOPICS.jobs(), List.of(record), new Append.Always()), Clocks.deadlineAfter(1_000));
    }

    private static Job wideJob() {
        return wideJob("a");
    }

    private static Job wideJob(String id) {
        Step step =
                new Step(TASK_COUNT, new Resources(1, 1, 0), 1_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(0, 1, 3, 1_000);
        long now = System.currentTimeMillis();
        return new Job(id, "queue", "service", "account", terms, "payload", List.of(step), Job.Schedule.NOW, now);
    }

    private boolean isDone() {
        JobEntry entry = replica.find("a");
        return entry != null && entry.state() == JobState.DONE;
    }

    private void awaitDone() {
        long deadline = Clocks.deadlineAfter(TIMEOUT_MILLIS);
        while (!isDone() && Clocks.millisUntil(deadline) > 0) {
            Clocks.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    /** Lets a node lead until the job is done. */
    private void leadUntilDone() {
        LeaderElection election = newElection();
        election.start();
        awaitDone();
        election.stop(1_000);
        jobConsumer.stop();
        assertThat(isDone()).isTrue();
    }

    private void registerTargets() {
        for (int i = 0; i < TARGET_COUNT; i++) {
            append(new KeyedRecord(TARGET_PREFIX + i, new byte[] {1}));
        }
    }

    private long bytesAbout(String job) {
        ReadOutcome.Records read = (ReadOutcome.Records) log.read(TOPICS.jobs(), 0, 0, Clocks.deadlineAfter(1_000));
        return read.records().stream()
                .filter(record -> List.of(record.key().split("/")).contains(job))
                .mapToLong(record -> record.key().length() + record.value().length)
                .sum();
    }

    /**
     * Guards against nodes with slow links that fall behind the log for good, since each change of one task writes all
     * tasks of its job again.
     */
    @Test
    void theBytesWrittenForAJobGrowInProportionToItsTasks() throws Exception {
        registerTargets();
        append(JobRecords.encode(wideJob()));
        jobConsumer.start();
        leadUntilDone();
        assertThat(bytesAbout("a")).isLessThan((long) TASK_COUNT * MAX_BYTES_PER_TASK);
    }

    /**
     * Guards against a pool in which nothing starts any more (LOST), since what a leader has to write exceeds the log's
     * limit for one append, and so does what each of its successors has to write.
     */
    @Test
    void aJobWhoseRecordsExceedOneAppendIsDoneAfterATakeover() throws Exception {
        log.limits = new AppendLimits(1_000, 2_000);
        registerTargets();
        append(JobRecords.encode(wideJob()));
        jobConsumer.start();
        LeaderElection first = newElection();
        first.start();
        Conditions.await(() -> doneTasks() > TASK_COUNT / 4);
        first.stop(1_000);
        assertThat(isDone()).isFalse();
        LeaderElection second = newElection();
        second.start();
        awaitDone();
        second.stop(1_000);
        jobConsumer.stop();
        assertThat(isDone()).isTrue();
        assertThat(log.rejections).isEqualTo(0);
    }

    private int doneTasks() {
        return (int) replica.attach(null).stream()
                .filter(entry -> entry.progress() != null)
                .flatMap(entry -> entry.progress().tasks().stream())
                .filter(JobProgress.Task::done)
                .count();
    }

    /** Guards against a job that ends the term of each leader in turn (LOST), as the log rejects one of its records. */
    @Test
    void aJobWhoseRecordTheLogRejectsKeepsNoOtherJobFromEnding() throws Exception {
        log.rejectedKey = "task/b/0.0.3";
        registerTargets();
        append(JobRecords.encode(wideJob("b")));
        append(JobRecords.encode(wideJob()));
        jobConsumer.start();
        leadUntilDone();
    }

    /** Registers a large target for each record with the prefix of targets. */
    private static final class TargetRecords implements TargetRecordDecoder {
        @Override
        public Optional<String> targetId(KeyedRecord record) {
            return record.key().startsWith(TARGET_PREFIX) ? Optional.of(record.key()) : Optional.empty();
        }

        @Override
        public Optional<TargetInfo> decodeTarget(KeyedRecord record) {
            Resources capacity = new Resources(1_000, 1_000, 0);
            return Optional.of(new TargetInfo(
                    record.key(), "service", record.key(), "dc", "rack", Set.of(), capacity, false, 0, 1));
        }
    }

    /**
     * Targets of which each ends one run, successfully, before each of its reports. They report at once, so reports
     * arrive faster than a term handles them.
     */
    private static final class SequentialTargets implements TargetCalls {
        private final Map<String, SequentialTarget> targets = new HashMap<>();

        private static long clock() {
            return System.nanoTime() / Clocks.NANOS_PER_MILLI;
        }

        private SequentialTarget target(Endpoint endpoint) {
            return targets.computeIfAbsent(endpoint.id(), id -> new SequentialTarget());
        }

        @Override
        public long maxLeaseMillis() {
            return 6_000;
        }

        @Override
        public synchronized CommandReply start(Endpoint endpoint, StartRequest request, long timeoutMillis) {
            target(endpoint).running.add(new TargetReport.Running(request.task(), request.run(), "", 0));
            return new Done(clock());
        }

        @Override
        public synchronized CommandReply stop(Endpoint endpoint, TaskId task, int run, long fence, long timeoutMillis) {
            return new Done(clock());
        }

        @Override
        public synchronized ReportReply report(Endpoint endpoint, ReportRequest request, long timeoutMillis) {
            SequentialTarget target = target(endpoint);
            target.ended.removeIf(end -> end.number() <= request.acknowledged());
            if (!target.running.isEmpty() && target.ended.isEmpty()) {
                TargetReport.Running run = target.running.remove(0);
                target.endCount++;
                target.ended.add(new TargetReport.Ended(
                        target.endCount, run.task(), run.run(), TargetReport.EndReason.DONE, ""));
            }
            TargetReport report = new TargetReport(
                    endpoint.id(), 1, System.nanoTime(), List.copyOf(target.running), List.copyOf(target.ended), true);
            return new Reported(clock(), report);
        }
    }

    /** The state of one target. */
    private static final class SequentialTarget {
        final List<TargetReport.Running> running = new ArrayList<>();
        final List<TargetReport.Ended> ended = new ArrayList<>();
        long endCount;
    }
}
