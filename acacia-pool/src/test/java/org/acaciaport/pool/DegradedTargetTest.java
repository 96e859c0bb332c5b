package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Work on targets that are slow, stand still or are about to leave. */
final class DegradedTargetTest {
    private final PoolFixture fixture = new PoolFixture();

    @Test
    void nothingStartsOnATargetThatDrains() {
        fixture.addTarget("t1", "r1");
        fixture.drainTarget("t1", "r1", 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.independentTasks(1, 1)));
        assertThat(fixture.starts).isEmpty();
    }

    /** Pattern: targets leave with short notice. Work that saves its progress used to run until it was lost. */
    @Test
    void workThatSavesIsMovedOffATargetBeforeItLeaves() {
        fixture.addTarget("t1", "r1");
        Step.Mode saving = new Step.Mode(false, true, false, false, false, 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.step(1, 8, saving, false)));
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

    /** Pattern: some targets turn several times slower. Urgent work used to stay there until it was late. */
    @Test
    void urgentWorkLeavesATargetThatIsMuchSlowerThanEstimatedOnce() {
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

    /** Pattern: a calm day with an estimate far too low. A run past its middle is moved off a sound target. */
    @Test
    void aRunThatWouldEndSoonerHereThanAnewIsLeft() {
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

    /** Pattern: slow targets. A run that began from nothing has a rate after one report; it used to take two. */
    @Test
    void aSlowRunIsKnownByItsFirstReport() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.addTarget("t2", "r1");
        fixture.advance(1_000);
        fixture.reportProgress(fixture.starts.get(0), 3);
        fixture.schedulePass();
        assertThat(fixture.stops).hasSize(1);
    }

    /** The newest run gains two percent each half second, so it takes five times its estimate. */
    private void reportSlowProgress(int reports) {
        TargetCommand.Start start = fixture.starts.get(fixture.starts.size() - 1);
        for (int i = 1; i <= reports; i++) {
            fixture.advance(500);
            fixture.reportProgress(start, 2 * i);
        }
        fixture.schedulePass();
    }

    @Test
    void aRunWithoutProgressGoesOnElsewhere() {
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
