package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of the numbers that tell whether work is held up by a lack of room or by its own earlier steps. */
final class BacklogTest {
    private final PoolFixture fixture = new PoolFixture();

    @Test
    void tasksOfAStepWhoseEarlierStepRunsAreBlockedAndNotWaiting() {
        fixture.addTarget("t1", "r1");
        Step later =
                new Step(3, new Resources(1_000, 1_000, 8), 5_000, List.of(0), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("chain", "x", 1, PoolFixture.independentTasks(1, 8), later));
        Backlog during = fixture.pool.backlog();
        assertThat(during.blocked()).isEqualTo(3);
        assertThat(during.waiting()).isEqualTo(0);
        fixture.endRun(PoolFixture.taskId("chain", 0), TargetReport.EndReason.DONE);
        Backlog after = fixture.pool.backlog();
        assertThat(after.blocked()).isEqualTo(0);
        assertThat(after.waiting()).isEqualTo(2);
    }
}
