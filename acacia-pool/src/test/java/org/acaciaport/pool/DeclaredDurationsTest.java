package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what is known of how far declared durations are off. */
final class DeclaredDurationsTest {
    private final DeclaredDurations durations = new DeclaredDurations();

    private void record(String queue, int count, double actualSeconds, double declaredSeconds) {
        for (int i = 0; i < count; i++) {
            durations.record(queue, actualSeconds, declaredSeconds);
        }
    }

    /** Guards against a factor from too few steps, and against one that misses the steps declared as a tenth. */
    @Test
    void theFactorCoversNineOfTenSteps() {
        record("q", 7, 2.5, 2.5);
        assertThat(durations.percentByQueue()).isEmpty();
        record("q", 3, 2.5, 0.5);
        assertThat(durations.percentByQueue()).containsExactly("q", 500);
    }

    /** Guards against factors without bounds, which would accept or refuse anything. */
    @Test
    void theFactorIsBounded() {
        record("low", 10, 1_000, 0.001);
        record("high", 10, 0.001, 1_000);
        record("unknown", 10, 5, 0);
        assertThat(durations.percentByQueue()).containsExactly("low", 1_000, "high", 100);
    }

    /** Guards against a factor that stays high after callers declare better. */
    @Test
    void oldStepsAreForgotten() {
        record("q", 50, 10, 1);
        record("q", 50, 1, 1);
        assertThat(durations.percentByQueue()).containsExactly("q", 100);
    }

    /** Guards against memory and records that grow with the number of queues. */
    @Test
    void theNumberOfQueuesIsBounded() {
        for (int i = 0; i < 100; i++) {
            record("q" + i, 10, 1, 1);
        }
        assertThat(durations.percentByQueue()).hasSize(DeclaredDurations.MAX_QUEUES);
    }

    /** Guards against ends of runs that are not recorded, or recorded once for each task. */
    @Test
    void eachStepOfThePoolCountsOnce() {
        PoolFixture fixture = new PoolFixture();
        Resources demand = new Resources(1_000, 1_000, 1);
        Step step = new Step(2, demand, 500, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        for (int i = 0; i < DeclaredDurations.MIN_STEPS; i++) {
            // A target whose runs were slow takes no work for a while.
            String target = "t" + i;
            fixture.addTarget(target, "r1");
            assertThat(fixture.pool.declaredDurationPercents()).isEmpty();
            fixture.submit(fixture.job("j" + i, "x", 1, step));
            assertThat(fixture.running).hasSize(2);
            List<TargetReport.Running> runs = fixture.running.values().stream()
                    .map(start -> new TargetReport.Running(start.task(), start.run(), "", 0))
                    .toList();
            long nowNanos = fixture.now().monotonicNanos();
            fixture.pool.handleReport(new TargetReport(target, 1, nowNanos, runs, List.of(), true), fixture.now());
            fixture.advance(1_000);
            for (TaskId task : List.copyOf(fixture.running.keySet())) {
                fixture.endRun(task, TargetReport.EndReason.DONE);
            }
        }
        assertThat(fixture.pool.declaredDurationPercents().get("queue")).isIn(List.of(200, 210));
    }
}
