package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that accepted work starts while most of the pool is free. */
final class WaitingWorkTest {
    /** Longest time for which work waits for a better locality, in milliseconds. */
    private static final int MAX_LOCALITY_WAIT_MILLIS = 60_000;

    private final PoolFixture fixture = new PoolFixture();

    /** Guards against a gang that waits for the end of certain runs (LOST) while other targets become free. */
    @Test
    void aGangWithAnAdvanceReservationUsesRoomThatBecomesFreeElsewhere() {
        List<TaskId> running = fixture.occupyTargets(10);
        fixture.submit(fixture.job("gang", "y", 1, PoolFixture.gang(2, 8, false)));
        fixture.advance(3_100);
        WaitingStep gang = fixture.pool.longestWaitingSteps(fixture.now()).get(0);
        assertThat(gang.reserved()).isEqualTo(2);
        endRunsExceptOn(gang.awaitedTarget(), running);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("gang")).hasSize(2);
    }

    /** Guards against a single task that waits for the end of a stop (LOST) while other targets are free. */
    @Test
    void aTaskThatWaitsForAStopUsesRoomThatBecomesFreeElsewhere() {
        List<TaskId> running = fixture.occupyTargets(4);
        fixture.submit(fixture.job("urgent", "y", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        endRunsExceptOn(fixture.stops.get(0).target(), running);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("urgent")).hasSize(1);
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
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("gang")).hasSize(4);
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
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("waiting")).hasSize(1);
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
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("other")).hasSize(1);
    }

    /** Guards against a gang that waits for ever for a whole rack (LOST), as lasting work takes a part of each. */
    @Test
    void aTightGangDoesNotWaitForARackForEver() {
        occupyHalfOfFourRacks();
        fixture.submit(fixture.job("gang", "y", 1, PoolFixture.gang(2, 8, true)));
        fixture.pass(MAX_LOCALITY_WAIT_MILLIS);
        assertThat(fixture.startsOf("gang")).isEmpty();
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("gang")).hasSize(2);
    }

    private void occupyHalfOfFourRacks() {
        for (int rack = 0; rack < 4; rack++) {
            fixture.addTarget("t" + rack + "0", "r" + rack);
            fixture.addTarget("t" + rack + "1", "r" + rack);
        }
        for (int rack = 0; rack < 4; rack++) {
            Step.Constraints inRack = new Step.Constraints("r" + rack, "", 0, false);
            Step one = new Step(1, PoolFixture.TARGET_CAPACITY, 600_000, List.of(), inRack, Step.Mode.PLAIN);
            fixture.submit(fixture.job("busy" + rack, "x", 1, one));
        }
    }

    /** Guards against a gang that is spread over racks since targets that have not reported count as free. */
    @Test
    void aTargetThatHasNotReportedDoesNotMakeThePoolMostlyFree() {
        occupyHalfOfFourRacks();
        Resources huge = new Resources(1_000_000, 1_000_000, 1_000);
        fixture.pool.register(
                new TargetInfo("odd", PoolFixture.SERVICE, "address", "dc", "r9", Set.of(), huge, false, 0, 1));
        fixture.submit(fixture.job("gang", "y", 1, PoolFixture.gang(2, 8, true)));
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("gang")).isEmpty();
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
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("narrow")).hasSize(2);
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
}
