package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that accepted work starts while most of the pool is free. */
final class WaitingWorkTest {
    /** Longest time for which work may wait while there is room for it twice over, in milliseconds. */
    private static final int MAX_WAIT_WITH_ROOM_MILLIS = 3_000;

    private static final int PASS_INTERVAL_MILLIS = 50;

    private final PoolFixture fixture = new PoolFixture();

    /** Guards against a gang that waits for the end of certain runs (LOST) while other targets become free. */
    @Test
    void aGangWithAnAdvanceReservationUsesRoomThatBecomesFreeElsewhere() {
        List<TaskId> running = occupyTargets(10);
        fixture.submit(fixture.job("gang", "y", 1, PoolFixture.gang(2, 8, false)));
        fixture.advance(3_100);
        WaitingStep gang = fixture.pool.longestWaitingSteps(fixture.now()).get(0);
        assertThat(gang.reserved()).isEqualTo(2);
        endRunsExceptOn(gang.awaitedTarget(), running);
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("gang")).hasSize(2);
    }

    /** Guards against a single task that waits for the end of a stop (LOST) while other targets are free. */
    @Test
    void aTaskThatWaitsForAStopUsesRoomThatBecomesFreeElsewhere() {
        List<TaskId> running = occupyTargets(4);
        fixture.submit(fixture.job("urgent", "y", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        endRunsExceptOn(fixture.stops.get(0).target(), running);
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("urgent")).hasSize(1);
    }

    /** Guards against a gang that waits for a whole rack (LOST) while most of each rack is free. */
    @Test
    void aTightGangSpreadsOverRacksWhileMostOfThePoolIsFree() {
        for (int rack = 0; rack < 3; rack++) {
            for (int i = 0; i < 4; i++) {
                fixture.addTarget("t" + rack + i, "r" + rack);
            }
        }
        occupyOneTargetOfEachRack();
        fixture.submit(fixture.job("gang", "y", 1, PoolFixture.gang(4, 8, true)));
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("gang")).hasSize(4);
    }

    /** Guards against a task that waits for the rack of its data (LOST) while most of the pool is free. */
    @Test
    void aTaskLeavesTheRackOfItsDataWhileMostOfThePoolIsFree() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r2");
        fixture.addTarget("t3", "r3");
        Step.Constraints nearRack = new Step.Constraints("", "r1", 0, false);
        Step step = new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), nearRack, Step.Mode.PLAIN);
        fixture.submit(fixture.job("busy", "x", 1, step));
        fixture.submit(fixture.job("waiting", "x", 1, step));
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("waiting")).hasSize(1);
    }

    /** Guards against a job that holds up others of the same demand (LOST) since it failed on the free targets. */
    @Test
    void aJobThatMayNotUseTheFreeTargetsDoesNotHoldUpOthersOfTheSameDemand() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("failing", "x", 1, PoolFixture.independentTasks(1, 8)));
        TargetCommand.Start first = fixture.starts.get(0);
        String other = first.target().equals("t1") ? "t2" : "t1";
        Step longStep =
                new Step(1, new Resources(1_000, 1_000, 8), 600_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("long", "x", 1, longStep));
        assertThat(fixture.starts.get(1).target()).isEqualTo(other);
        fixture.endRun(first.task(), TargetReport.EndReason.FAILED);
        fixture.submit(fixture.job("other", "x", 1, PoolFixture.independentTasks(1, 8)));
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("other")).hasSize(1);
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
        assertThat(startsOf("next")).hasSize(2);
    }

    /** Guards against resources that stay in use (LOST) after the lease of a stray run has expired. */
    @Test
    void aStrayRunHoldsNoResourcesAfterItsLeaseHasExpired() {
        reportStrayRunOnT2();
        fixture.pool.handleLeaseExpiry("t2", fixture.now());
        fixture.submit(fixture.job("next", "x", 1, PoolFixture.independentTasks(2, 8)));
        assertThat(startsOf("next")).hasSize(2);
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

    /** Guards against an occurrence that is never started (LOST), since a later one started before a takeover. */
    @Test
    void anOccurrenceThatWasNotStartedIsOpenAfterATakeover() {
        occupyTargets(1);
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
        assertThat(startsOf("twice")).hasSize(1);
        assertThat(startsOf("twice").get(0).task().occurrence()).isEqualTo(1);

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
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("early")).hasSize(1);
    }

    /** Guards against a gang that is spread over racks since targets that have not reported count as free. */
    @Test
    void aTargetThatHasNotReportedDoesNotMakeThePoolMostlyFree() {
        for (int rack = 0; rack < 4; rack++) {
            fixture.addTarget("t" + rack + "0", "r" + rack);
            fixture.addTarget("t" + rack + "1", "r" + rack);
        }
        for (int rack = 0; rack < 4; rack++) {
            Step.Constraints inRack = new Step.Constraints("r" + rack, "", 0, false);
            Step one = new Step(1, PoolFixture.TARGET_CAPACITY, 600_000, List.of(), inRack, Step.Mode.PLAIN);
            fixture.submit(fixture.job("busy" + rack, "x", 1, one));
        }
        Resources huge = new Resources(1_000_000, 1_000_000, 1_000);
        fixture.pool.register(
                new TargetInfo("odd", PoolFixture.SERVICE, "address", "dc", "r9", Set.of(), huge, false, 0, 1));
        fixture.submit(fixture.job("gang", "y", 1, PoolFixture.gang(2, 8, true)));
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("gang")).isEmpty();
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
                new TargetReport("t1", 0, fixture.now().monotonicNanos(), List.of(), List.of()), fixture.now());
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("a")).hasSize(2);
    }

    /** Guards against a gang that waits (LOST) for idle targets that a wider gang holds while it waits for one. */
    @Test
    void aGangUsesTargetsThatAWiderOneHoldsInVain() {
        for (int i = 0; i < 10; i++) {
            fixture.addTarget("t" + i, "r1");
        }
        for (int i = 0; i < 20; i++) {
            fixture.addTarget("u" + i, "r2");
        }
        Step.Constraints onlyR1 = new Step.Constraints("r1", "", 0, false);
        Resources wholeTarget = new Resources(1_000, 1_000, 8);
        Step.Mode together = new Step.Mode(true, false, false, false, false, 0);
        fixture.submit(
                fixture.job("busy", "x", 1, new Step(5, wholeTarget, 600_000, List.of(), onlyR1, Step.Mode.PLAIN)));
        fixture.submit(fixture.job("wide", "x", 1, new Step(6, wholeTarget, 5_000, List.of(), onlyR1, together)));
        fixture.advance(3_100);
        fixture.submit(fixture.job("narrow", "x", 1, new Step(2, wholeTarget, 5_000, List.of(), onlyR1, together)));
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("narrow")).hasSize(2);
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
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(startsOf("service")).hasSize(2);
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
        pass(MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.starts).hasSize(8);
    }

    private void reportWithoutProgress(String target) {
        List<TargetReport.Running> runs = fixture.running.values().stream()
                .map(start -> new TargetReport.Running(start.task(), start.run(), "", 0))
                .toList();
        fixture.pool.handleReport(
                new TargetReport(target, 1, fixture.now().monotonicNanos(), runs, List.of()), fixture.now());
        fixture.schedulePass();
    }

    /** Adds targets and runs a task of eight accelerators on each; returns the tasks. */
    private List<TaskId> occupyTargets(int count) {
        for (int i = 0; i < count; i++) {
            fixture.addTarget("t" + i, "r1");
        }
        fixture.submit(fixture.job("busy", "x", 1, PoolFixture.independentTasks(count, 8)));
        assertThat(fixture.running).hasSize(count);
        return new ArrayList<>(fixture.running.keySet());
    }

    /** Runs a long task on one target of each rack. */
    private void occupyOneTargetOfEachRack() {
        for (int rack = 0; rack < 3; rack++) {
            Step.Constraints inRack = new Step.Constraints("r" + rack, "", 0, false);
            Step one = new Step(1, new Resources(1_000, 1_000, 8), 600_000, List.of(), inRack, Step.Mode.PLAIN);
            fixture.submit(fixture.job("busy" + rack, "x", 1, one));
        }
        assertThat(fixture.running).hasSize(3);
    }

    private void endRunsExceptOn(String target, List<TaskId> tasks) {
        for (TaskId task : tasks) {
            if (!fixture.running.get(task).target().equals(target)) {
                fixture.endRun(task, TargetReport.EndReason.DONE);
            }
        }
    }

    private void pass(int millis) {
        for (int elapsed = 0; elapsed < millis; elapsed += PASS_INTERVAL_MILLIS) {
            fixture.advance(PASS_INTERVAL_MILLIS);
        }
    }

    private List<TargetCommand.Start> startsOf(String job) {
        return fixture.starts.stream()
                .filter(start -> start.task().job().equals(job))
                .toList();
    }
}
