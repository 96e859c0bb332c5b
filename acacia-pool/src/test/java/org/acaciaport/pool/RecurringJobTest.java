package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which occurrences of a recurring job run. */
final class RecurringJobTest {
    private final PoolFixture fixture = new PoolFixture();

    /** Guards against a job that never ends after a change of leader: what never started has no record. */
    @Test
    void anOccurrenceThatHadNotStartedRunsAfterARestore() {
        fixture.addTarget("t", "r");
        Job job = new Job(
                "j",
                "queue",
                PoolFixture.SERVICE,
                "a",
                new Job.Terms(0, 2, 3.0, 1_000),
                "",
                List.of(PoolFixture.independentTasks(1, 1)),
                new Job.Schedule(4, 1, 0),
                1);
        JobProgress.Task started = new JobProgress.Task(2, 0, 0, 1, 0, false, "t", 1, "");
        JobProgress progress = new JobProgress("j", JobState.RUNNING, 0, List.of(1), List.of(started));
        fixture.pool.restore(job, progress, fixture.now());
        fixture.schedulePass();
        assertThat(fixture.running.keySet()).containsExactly(new TaskId("j", 0, 0, 0), new TaskId("j", 3, 0, 0));
    }
}
