package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that accepted work starts although a target, a leader or an earlier run failed. */
final class WorkAfterFailureTest {
    private static final int EXCLUSION_MILLIS = 700;

    private final PoolFixture fixture = new PoolFixture();

    /**
     * Guards against work that is started hundreds of times a second on a silent target, as the expiry of its lease
     * undoes each start at once.
     */
    @Test
    void aTargetWhoseLeaseHasExpiredGetsNoWorkAtOnce() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.starts).hasSize(1);
        for (int expiries = 0; expiries < 10; expiries++) {
            fixture.pool.handleLeaseExpiry("t1", EXCLUSION_MILLIS, fixture.now());
            fixture.schedulePass();
        }
        assertThat(fixture.starts).hasSize(1);
        fixture.advance(EXCLUSION_MILLIS);
        assertThat(fixture.starts).hasSize(2);
    }

    /** Guards against a target that is never asked again (LOST) after it reported a run that it should not have. */
    @Test
    void aTargetWithAStrayRunIsReportedUntilTheRunHasEnded() {
        reportStrayRunOnT2();
        assertThat(fixture.pool.occupiedTargets()).containsExactly("t2");
        fixture.running.clear();
        fixture.report("t2");
        assertThat(fixture.pool.occupiedTargets()).isEmpty();
        fixture.submit(fixture.job("next", "x", 1, PoolFixture.independentTasks(2, 8)));
        assertThat(fixture.startsOf("next")).hasSize(2);
    }

    /** Guards against tasks that run twice (TWICE), as a report lists only a part of the runs that have ended. */
    @Test
    void aRunIsAbsentOnlyFromACompleteReport() {
        TaskId task = fixture.occupyTargets(1).get(0);
        fixture.reportNothing("t0", false);
        fixture.schedulePass();
        assertThat(fixture.startsOf("busy")).hasSize(1);
        fixture.reportNothing("t0", true);
        fixture.schedulePass();
        assertThat(fixture.startsOf("busy")).hasSize(2);
        assertThat(fixture.startsOf("busy").get(1).task()).isEqualTo(task);
    }

    /** Guards against resources that stay in use (LOST) after the lease of a stray run has expired. */
    @Test
    void aStrayRunHoldsNoResourcesAfterItsLeaseHasExpired() {
        reportStrayRunOnT2();
        fixture.pool.handleLeaseExpiry("t2", 0, fixture.now());
        fixture.submit(fixture.job("next", "x", 1, PoolFixture.independentTasks(2, 8)));
        assertThat(fixture.startsOf("next")).hasSize(2);
    }

    /** Lets t2 report its member of a gang after t1 has reported that the gang is done. */
    private void reportStrayRunOnT2() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        Step laterStep = new Step(
                1,
                new Resources(1_000, 1_000, 1),
                5_000,
                List.of(0),
                new Step.Constraints("none", "", 0, false),
                Step.Mode.PLAIN);
        fixture.submit(fixture.job("gang", "x", 1, PoolFixture.gang(2, 8, false), laterStep));
        TargetCommand.Start onT1 = fixture.starts.stream()
                .filter(start -> start.target().equals("t1"))
                .findFirst()
                .orElseThrow();
        fixture.endRun(onT1.task(), TargetReport.EndReason.DONE);
        fixture.report("t2");
    }

    /** Guards against a gang that waits for ever (LOST), as a successor read the end of only one of its members. */
    @Test
    void aGangIsDoneIfTheEndOfOneMemberWasRead() {
        Job gang = fixture.job("gang", "x", 1, PoolFixture.gang(2, 8, false));
        JobProgress.Task done = new JobProgress.Task(0, 0, 0, 1, 0, true, "", 0, "");
        JobProgress.Task running = new JobProgress.Task(0, 0, 1, 1, 0, false, "gone", 1, "");
        JobProgress progress = new JobProgress("gang", JobState.RUNNING, 0, List.of(), List.of(done, running));
        fixture.pool.restore(gang, progress, fixture.now());
        fixture.pool.handleLeaseExpiry("gone", 0, fixture.now());
        fixture.schedulePass();
        assertThat(fixture.persisted.get("gang").state()).isEqualTo(JobState.DONE);
    }

    /** Guards against an occurrence that is never started (LOST), since a later one started before a takeover. */
    @Test
    void anOccurrenceThatWasNotStartedIsOpenAfterATakeover() {
        fixture.occupyTargets(1);
        Job busy = fixture.job("twice", "x", 1, PoolFixture.independentTasks(1, 8));
        Job twice = new Job(
                busy.id(),
                busy.queue(),
                busy.service(),
                busy.account(),
                busy.terms(),
                busy.payload(),
                busy.steps(),
                new Job.Schedule(2, busy.acceptedMillis(), 15_000),
                busy.acceptedMillis());
        fixture.submit(twice);
        fixture.advance(15_100);
        fixture.endRun(PoolFixture.taskId("busy", 0), TargetReport.EndReason.DONE);
        assertThat(fixture.startsOf("twice")).hasSize(1);
        assertThat(fixture.startsOf("twice").get(0).task().occurrence()).isEqualTo(1);

        PoolFixture successor = new PoolFixture();
        successor.pool.restore(twice, fixture.persisted.get("twice"), successor.now());
        successor.addTarget("t0", "r1");
        successor.addTarget("t1", "r1");
        successor.schedulePass();
        assertThat(successor.starts.stream()
                        .map(start -> start.task().occurrence())
                        .toList())
                .containsExactly(0, 1);
    }

    /** Guards against a job that waits (LOST) until the leader's clock reaches that of the accepting node. */
    @Test
    void aJobAcceptedByANodeWhoseClockIsAheadStartsAtOnce() {
        fixture.addTarget("t1", "r1");
        Job job = fixture.job("early", "x", 1, PoolFixture.independentTasks(1, 8));
        fixture.submit(new Job(
                job.id(),
                job.queue(),
                job.service(),
                job.account(),
                job.terms(),
                job.payload(),
                job.steps(),
                Job.Schedule.NOW,
                job.acceptedMillis() + 10_000));
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("early")).hasSize(1);
    }

    /**
     * Guards against tasks that stay bound to a target (LOST) which restarted with a lower incarnation, since its clock
     * was set back.
     */
    @Test
    void aTargetWhoseIncarnationIsLowerAfterARestartGetsWork() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.pool.register(new TargetInfo(
                "t1", PoolFixture.SERVICE, "address", "dc", "r1", Set.of(), PoolFixture.TARGET_CAPACITY, false, 0, 0));
        fixture.advance(100);
        fixture.pool.handleReport(
                new TargetReport("t1", 0, fixture.now().monotonicNanos(), List.of(), List.of(), true), fixture.now());
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("a")).hasSize(2);
    }

    /** Guards against work that waits for ever (LOST) since it failed on each target that could run it. */
    @Test
    void aTaskThatFailedOnTheOnlyTargetWithItsLabelRunsThereAgain() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r2");
        fixture.addTarget("t3", "r2");
        Step.Constraints onlyR1 = new Step.Constraints("r1", "", 0, false);
        Step.Mode lasting = new Step.Mode(false, false, false, true, false, 0);
        Step step = new Step(1, new Resources(1_000, 1_000, 8), 5_000, List.of(), onlyR1, lasting);
        fixture.submit(fixture.job("service", "x", 1, step));
        fixture.endRun(PoolFixture.taskId("service", 0), TargetReport.EndReason.FAILED);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("service")).hasSize(2);
    }

    /** Guards against targets that get no work for many seconds (LOST) since several of their tasks hung at once. */
    @Test
    void tasksThatStallTogetherExcludeTheirTargetOnlyOnce() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("hung", "x", 1, PoolFixture.independentTasks(4, 2)));
        fixture.advance(3_100);
        reportWithoutProgress("t1");
        assertThat(fixture.stops).hasSize(4);
        fixture.completeStops();
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.starts).hasSize(8);
    }

    private void reportWithoutProgress(String target) {
        List<TargetReport.Running> runs = fixture.running.values().stream()
                .map(start -> new TargetReport.Running(start.task(), start.run(), "", 0))
                .toList();
        fixture.pool.handleReport(
                new TargetReport(target, 1, fixture.now().monotonicNanos(), runs, List.of(), true), fixture.now());
        fixture.schedulePass();
    }
}
