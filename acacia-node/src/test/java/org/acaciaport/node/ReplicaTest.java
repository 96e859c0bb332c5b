package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.PoolSettings;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TargetReport;
import org.junit.jupiter.api.Test;

/** Tests what a leader's pool does with the records of an in-memory log whose earlier records may have expired. */
final class ReplicaTest {
    private static final String TOPIC = "jobs";
    private static final String SERVICE = "render";

    private static final Replica.Listener NO_LISTENER = new Replica.Listener() {
        @Override
        public void submitted(Job job) {}

        @Override
        public void cancelled(CancelRecord cancel) {}
    };

    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final TopicConsumer jobConsumer =
            new TopicConsumer(TOPIC, log, new TopicConsumer.PollSettings(0, 0), replica);
    private final Pool pool = newPoolWithTarget();

    private static Pool newPoolWithTarget() {
        Pool pool = new Pool();
        Resources capacity = new Resources(32_000, 64_000, 8);
        pool.configure(new PoolSettings(Map.of(), Set.of(), Map.of()));
        pool.register(new TargetInfo("t", SERVICE, "address", "dc", "rack", Set.of(), capacity, false, 0, 1));
        ClockReading now = Clocks.now();
        pool.handleReport(new TargetReport("t", 1, now.monotonicNanos(), List.of(), List.of(), true), now);
        return pool;
    }

    /** Lets the pool lead: it hears of each later job and cancellation. */
    private void attachPool() {
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        replica.attach(new Replica.Listener() {
            @Override
            public void submitted(Job job) {
                pool.submit(job, Clocks.now());
            }

            @Override
            public void cancelled(CancelRecord cancel) {
                pool.cancel(cancel.id(), Clocks.now());
            }
        });
    }

    private static long deadline() {
        return Clocks.deadlineAfter(5_000);
    }

    private static Job job(String id) {
        Step step =
                new Step(1, new Resources(1_000, 1_000, 1), 5_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        Job.Terms terms = new Job.Terms(1, 3, 1.5, 250);
        return new Job(id, "queue", SERVICE, "account", terms, "payload", List.of(step), Job.Schedule.NOW, 1);
    }

    private void append(KeyedRecord... records) {
        log.append(new Append(TOPIC, List.of(records), new Append.Always()), deadline());
    }

    private List<TargetCommand.Start> schedule() {
        pool.schedule(Clocks.now());
        return pool.takeBatch().starts();
    }

    /**
     * Guards against running a job whose caller has cancelled it. A leader that loads a snapshot while it leads reads
     * the cancellation before the job, since a snapshot is in the order of keys.
     */
    @Test
    void aCancelledJobOfASnapshotIsNotStarted() {
        attachPool();
        append(JobRecords.encode(job("a")), JobRecords.encode(job("b")));
        append(JobRecords.encode(new CancelRecord("a", 1)));
        log.expireRecords();
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        assertThat(schedule().stream().map(start -> start.task().job())).containsExactly("b");
    }

    /**
     * Guards against running a job again after it has ended. The leader has removed it from its pool, but loads a
     * snapshot before the deletion of its records is durable.
     */
    @Test
    void aJobThatTheReplicaHadIsNotSubmittedAgainByASnapshot() {
        attachPool();
        append(JobRecords.encode(job("a")));
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        pool.removeJob("a");
        append(JobRecords.encode(job("b")));
        log.expireRecords();
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        assertThat(schedule().stream().map(start -> start.task().job())).containsExactly("b");
    }

    /** Loads a snapshot, and runs {@code action} before the page that starts after key {@code after}. */
    private void loadSnapshot(String after, Runnable action) {
        append(KeyedRecord.tombstone("other"));
        log.expireRecords();
        log.beforeNewest = start -> {
            if (start.equals(after)) {
                action.run();
            }
        };
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
    }

    /** Guards against answering that an accepted job does not exist while a snapshot is being loaded. */
    @Test
    void aJobIsFoundWhileASnapshotIsLoaded() {
        append(JobRecords.encode(job("a")), JobRecords.encode(job("b")));
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        List<JobEntry> found = new ArrayList<>();
        loadSnapshot("job/a", () -> found.add(replica.find("b")));
        assertThat(found).containsExactly(JobEntry.NONE.with(job("b")));
    }

    /**
     * Guards against a term that begins while a snapshot is being loaded, and takes a running job as a new one or
     * misses a cancellation.
     */
    @Test
    void aTermThatBeginsWhileASnapshotIsLoadedGetsWholeEntries() {
        JobProgress.Task running = new JobProgress.Task(0, 0, 0, 1, 0, false, "t", 1, "");
        JobProgress progress = new JobProgress("a", JobState.RUNNING, 0, List.of(), List.of(running));
        append(JobRecords.encode(job("a")), JobRecords.encode(progress));
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        CancelRecord cancel = new CancelRecord("a", 1);
        append(JobRecords.encode(job("b")), JobRecords.encode(cancel));
        List<JobEntry> attached = new ArrayList<>();
        loadSnapshot("job/b", () -> attached.addAll(replica.attach(NO_LISTENER)));
        assertThat(attached)
                .containsExactly(new JobEntry(job("a"), progress, cancel, null, true), JobEntry.NONE.with(job("b")));
    }

    /** Guards against a copy that counts as outdated although a later read has shown that it is complete. */
    @Test
    void anEarlierReadThatEndsLaterDoesNotMakeTheReplicaOlder() {
        ClockReading later = Clocks.now();
        replica.caughtUp(later, 0);
        replica.caughtUp(new ClockReading(later.monotonicNanos() - 1_000_000, later.wallClockMillis() - 1), 0);
        assertThat(replica.asOf()).isEqualTo(later);
    }
}
