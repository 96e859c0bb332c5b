package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a job counts as begun from the first run that a target confirms, and not from the decision to start it.
 * They guard against a job that is missing among the pending ones, and shown as running (MIXED), though none of its
 * tasks has started anywhere.
 */
final class BegunJobTest {
    private final PoolFixture fixture = new PoolFixture();
    private Job job;
    private TargetCommand.Start start;

    @BeforeEach
    void decideOnAStart() {
        fixture.addTarget("t1", "r1");
        job = fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8));
        fixture.pool.submit(job, fixture.now());
        start = decideOnAStart(fixture.pool);
        assertThat(stateOf(fixture.pool)).isEqualTo(JobState.QUEUED);
    }

    /** Runs a scheduling pass and returns the only start that it decides on; its record becomes durable. */
    private TargetCommand.Start decideOnAStart(Pool pool) {
        pool.schedule(fixture.now());
        Batch batch = pool.takeBatch();
        batch.records().forEach(record -> fixture.persisted.put(record.id(), record));
        assertThat(batch.starts()).hasSize(1);
        return batch.starts().get(0);
    }

    /** Returns the state that callers are told. */
    private JobState stateOf(Pool pool) {
        pool.takeBatch().records().forEach(record -> fixture.persisted.put(record.id(), record));
        return fixture.persisted.get("a").state();
    }

    /** Returns the pool of a leader that takes over with what is durable. */
    private Pool successor() {
        Pool successor = new Pool();
        successor.restore(job, fixture.persisted.get("a"), fixture.now());
        successor.register(new TargetInfo(
                "t1",
                PoolFixture.SERVICE,
                "address",
                "dc",
                "r1",
                Set.of("a"),
                PoolFixture.TARGET_CAPACITY,
                false,
                0,
                1));
        return successor;
    }

    private TargetReport report(List<TargetReport.Running> running, TargetReport.Ended... ended) {
        fixture.advance(1);
        long requestNanos = fixture.now().monotonicNanos();
        return new TargetReport("t1", 1, requestNanos, running, List.of(ended), true);
    }

    private List<TargetReport.Running> asRunning() {
        return List.of(new TargetReport.Running(start.task(), start.run(), "", 10));
    }

    @Test
    void aConfirmedStartBeginsTheJob() {
        fixture.pool.handleStarted(start, fixture.now());
        assertThat(stateOf(fixture.pool)).isEqualTo(JobState.RUNNING);
    }

    @Test
    void startsThatAreRefusedLeaveTheJobQueued() {
        for (int i = 0; i < 3; i++) {
            fixture.pool.handleStartFailure(start, "UNHEALTHY", 0, fixture.now());
            start = decideOnAStart(fixture.pool);
            assertThat(stateOf(fixture.pool)).isEqualTo(JobState.QUEUED);
        }
    }

    @Test
    void aSuccessorDoesNotTakeADecisionForABeginning() {
        Pool successor = successor();
        successor.handleReport(report(List.of()), fixture.now());
        start = decideOnAStart(successor);
        assertThat(stateOf(successor)).isEqualTo(JobState.QUEUED);
        successor.handleStartFailure(start, "UNHEALTHY", 0, fixture.now());
        decideOnAStart(successor);
        assertThat(stateOf(successor)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void aSuccessorHearsFromTheTargetThatTheJobHasBegun() {
        Pool successor = successor();
        successor.handleReport(report(asRunning()), fixture.now());
        assertThat(stateOf(successor)).isEqualTo(JobState.RUNNING);
    }

    @Test
    void aRunThatHasEndedShowsThatTheJobHasBegun() {
        fixture.pool.handleReport(
                report(
                        List.of(),
                        new TargetReport.Ended(1, start.task(), start.run(), TargetReport.EndReason.STOPPED, "")),
                fixture.now());
        assertThat(stateOf(fixture.pool)).isEqualTo(JobState.RUNNING);
    }

    @Test
    void aStrayRunShowsThatTheJobHasBegun() {
        fixture.pool.handleStartFailure(start, "no answer", 0, fixture.now());
        fixture.pool.handleReport(report(asRunning()), fixture.now());
        assertThat(stateOf(fixture.pool)).isEqualTo(JobState.RUNNING);
    }

    @Test
    void aLateConfirmationShowsThatTheJobHasBegun() {
        fixture.pool.handleStartFailure(start, "no answer", 0, fixture.now());
        fixture.pool.handleStarted(start, fixture.now());
        assertThat(stateOf(fixture.pool)).isEqualTo(JobState.RUNNING);
    }
}
