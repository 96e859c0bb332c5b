package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of work on targets that report themselves healthy and fail all that they start. */
final class FaultyTargetTest {
    private final PoolFixture fixture = new PoolFixture();

    /** Guards against a faulty target that, always idle, takes one job after the other. */
    @Test
    void theNextJobAvoidsATargetThatHasJustFailedAnother() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("first", "x", 1, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.starts.get(0).target()).isEqualTo("t1");
        fixture.endRun(PoolFixture.taskId("first", 0), TargetReport.EndReason.FAILED);
        fixture.endRun(PoolFixture.taskId("first", 0), TargetReport.EndReason.DONE);
        fixture.submit(fixture.job("second", "x", 1, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.startsOf("second").get(0).target()).isEqualTo("t2");
    }

    /** Guards against a target whose failures are all put down to jobs that failed elsewhere before. */
    @Test
    void failuresOfSeveralJobsCountAgainstATargetAlthoughTheyFailedElsewhere() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 2)));
        fixture.submit(fixture.job("b", "x", 1, PoolFixture.independentTasks(1, 2)));
        fixture.submit(fixture.job("c", "x", 1, PoolFixture.independentTasks(1, 2)));
        for (String job : List.of("a", "b", "c")) {
            fixture.endRun(PoolFixture.taskId(job, 0), TargetReport.EndReason.FAILED);
        }
        fixture.addTarget("t3", "r1");
        for (String job : List.of("a", "b", "c")) {
            assertThat(fixture.running.get(PoolFixture.taskId(job, 0)).target()).isEqualTo("t2");
            fixture.endRun(PoolFixture.taskId(job, 0), TargetReport.EndReason.FAILED);
        }
        fixture.advance(1_100);
        fixture.submit(fixture.job("next", "x", 1, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.startsOf("next").get(0).target()).isEqualTo("t3");
    }

    /** Guards against a job that waits for ever (LOST) for full targets, as it failed once on the only idle one. */
    @Test
    void aJobReturnsToTheOnlyFreeTargetOnWhichItFailed() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("busy", "x", 1, PoolFixture.independentTasks(1, 8)));
        for (String target : List.of("t2", "t3", "t4")) {
            fixture.addTarget(target, target.equals("t2") ? "r1" : "r2");
        }
        Step labelled = new Step(
                1,
                new Resources(1_000, 1_000, 8),
                5_000,
                List.of(),
                new Step.Constraints("r1", "", 0, false),
                Step.Mode.PLAIN);
        fixture.submit(fixture.job("a", "x", 1, labelled));
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        fixture.pass(1_500);
        assertThat(fixture.startsOf("a")).hasSize(1);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS - 1_500);
        assertThat(fixture.startsOf("a")).hasSize(2);
        assertThat(fixture.startsOf("a").get(1).target()).isEqualTo("t2");
    }

    /** Guards against a job that uses up its attempts on a faulty target while the others are busy for a while. */
    @Test
    void aJobWaitsForOthersInABusyPoolAndNotForEver() {
        fixture.occupyTargets(4);
        fixture.addTarget("t4", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        fixture.pass(8_000);
        assertThat(fixture.startsOf("a")).hasSize(1);
        fixture.pass(4_000);
        assertThat(fixture.startsOf("a")).hasSize(2);
    }

    /** Guards against a job that fails for good on two faulty targets, one after the other. */
    @Test
    void theLastAttemptGoesToATargetThatHasJustCompletedARun() {
        fixture.addTarget("t3", "r1");
        fixture.submit(fixture.job("earlier", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.endRun(PoolFixture.taskId("earlier", 0), TargetReport.EndReason.DONE);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.startsOf("a").get(0).target()).isEqualTo("t1");
        fixture.addTarget("t2", "r1");
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        assertThat(fixture.startsOf("a").get(1).target()).isEqualTo("t3");
    }

    /** Guards against a claim that, on its last attempt, stops the work of proven targets while others are free. */
    @Test
    void theLastAttemptStopsNoWorkWhileOtherTargetsAreFree() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("earlier", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.endRun(PoolFixture.taskId("earlier", 0), TargetReport.EndReason.DONE);
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t3", "r1");
        fixture.endRun(PoolFixture.taskId("claim", 0), TargetReport.EndReason.FAILED);
        assertThat(fixture.stops).isEmpty();
        assertThat(fixture.startsOf("claim").get(1).target()).isEqualTo("t3");
    }

    /** Guards against a last attempt that waits for a proven target while most of the pool is free (LOST). */
    @Test
    void theLastAttemptDoesNotWaitLongForAProvenTarget() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("short", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.endRun(PoolFixture.taskId("short", 0), TargetReport.EndReason.DONE);
        fixture.submit(fixture.job("long", "x", 1, PoolFixture.independentTasks(1, 8)));
        for (int i = 3; i < 9; i++) {
            fixture.addTarget("t" + i, "r1");
        }
        fixture.endRun(PoolFixture.taskId("a", 0), TargetReport.EndReason.FAILED);
        fixture.pass(PoolFixture.MAX_WAIT_WITH_ROOM_MILLIS);
        assertThat(fixture.startsOf("a")).hasSize(2);
    }
}
