package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of tasks on targets that are slow, stalled or draining. */
final class DegradedTargetTest {
    private final PoolFixture fixture = new PoolFixture();

    @Test
    void nothingStartsOnADrainingTarget() {
        fixture.addTarget("t1", "r1");
        fixture.drainTarget("t1", "r1", 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 1)));
        assertThat(fixture.starts).isEmpty();
    }

    /** Guards against tasks with checkpoints that run until a target departs at short notice and are lost. */
    @Test
    void tasksWithCheckpointsAreEvictedBeforeDeparture() {
        fixture.addTarget("t1", "r1");
        Step.Mode checkpointMode = new Step.Mode(false, true, false, false, false, 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.step(1, 8, checkpointMode, false)));
        fixture.submit(fixture.job("b", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        fixture.schedulePass();
        fixture.drainTarget("t1", "r1", fixture.now().nanosAfter(2_000));
        fixture.drainTarget("t2", "r1", fixture.now().nanosAfter(2_000));
        fixture.schedulePass();
        assertThat(fixture.stops).isEmpty();
        fixture.advance(1_500);
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("a");
    }

    /** Guards against urgent tasks that stay on a target that has become several times slower until they are late. */
    @Test
    void anUrgentStragglerMigratesOnce() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        reportSlowProgress(2);
        assertThat(fixture.stops).hasSize(1);
        fixture.completeStops();
        assertThat(fixture.starts.get(1).target()).isEqualTo("t2");
        reportSlowProgress(4);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against moving a run that is more than half done off a healthy target because its estimate is too low. */
    @Test
    void aStragglerStaysIfARestartWouldTakeLonger() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        for (int percent = 50; percent <= 80; percent += 10) {
            fixture.advance(2_000);
            fixture.reportProgress(fixture.starts.get(0), percent);
            fixture.schedulePass();
        }
        assertThat(fixture.stops).isEmpty();
    }

    /**
     * Guards against detection only after a second report, although the rate of a run that started without a checkpoint
     * is known after one.
     */
    @Test
    void aStragglerIsDetectedByItsFirstReport() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        fixture.advance(1_000);
        fixture.reportProgress(fixture.starts.get(0), 3);
        fixture.schedulePass();
        assertThat(fixture.stops).hasSize(1);
    }

    /** Guards against stopping sound runs of a queue whose estimates are rough, such as an eighth of the duration. */
    @Test
    void runsOfAQueueWithRoughEstimatesAreNoStragglers() {
        fixture.addTarget("t1", "r1");
        for (int i = 0; i < 10; i++) {
            fixture.submit(fixture.job("earlier" + i, "x", 0, PoolFixture.independentTasks(1, 8)));
            fixture.advance(i % 2 == 0 ? 500 : 30_000);
            fixture.endRun(PoolFixture.taskId("earlier" + i, 0), TargetReport.EndReason.DONE);
        }
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        reportSlowProgress(4);
        assertThat(fixture.stops).isEmpty();
    }

    /**
     * Reports progress of two percent each half second for the newest run, which then takes five times its estimate.
     */
    private void reportSlowProgress(int reports) {
        TargetCommand.Start start = fixture.starts.get(fixture.starts.size() - 1);
        for (int i = 1; i <= reports; i++) {
            fixture.advance(500);
            fixture.reportProgress(start, 2 * i);
        }
        fixture.schedulePass();
    }

    /** Guards against a task that never ends (LOST), as its progress shows less often than a run counts as stalled. */
    @Test
    void aTaskThatStallsAgainAndAgainIsGivenMoreTime() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        for (int stall = 0; stall < 8; stall++) {
            TargetCommand.Start start = fixture.starts.getLast();
            for (int i = 0; i < 80 && fixture.stops.isEmpty(); i++) {
                fixture.advance(500);
                fixture.reportProgress(start, 10);
            }
            if (fixture.stops.isEmpty()) {
                return;
            }
            fixture.completeStops();
            fixture.pass(20_000);
            fixture.stops.clear();
        }
        throw new AssertionError("no run is given 40 s");
    }

    @Test
    void aStalledRunMovesToAnotherTarget() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        TargetCommand.Start start = fixture.starts.get(0);
        for (int i = 0; i < 8; i++) {
            fixture.advance(500);
            fixture.reportProgress(start, 10);
        }
        fixture.schedulePass();
        assertThat(fixture.stops).isNotEmpty();
        fixture.completeStops();
        assertThat(fixture.starts.get(1).target()).isEqualTo("t2");
    }
}
