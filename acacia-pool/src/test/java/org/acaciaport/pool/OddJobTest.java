package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what jobs with odd steps, estimates and schedules cost. */
final class OddJobTest {
    private static final long NOW_MILLIS = 1_700_000_000_000L;
    private static final int MAX_OPEN_TASKS = 100_000;
    private static final int TASKS_PER_OCCURRENCE = 10;
    private static final Job.Terms TERMS = new Job.Terms(0, 2, 3.0, 1_000);

    private static Step step(int count, long estimateMillis, List<Integer> after) {
        return new Step(count, new Resources(1, 1, 0), estimateMillis, after, Step.Constraints.NONE, Step.Mode.PLAIN);
    }

    private static Job job(Job.Terms terms, List<Step> steps, Job.Schedule schedule) {
        return new Job("j", "q", "s", "a", terms, "", steps, schedule, NOW_MILLIS);
    }

    /** Guards against a recurring job whose past occurrences fill the memory of each leader. */
    @Test
    void occurrencesOpenAsEarlierOnesEnd() {
        Job.Schedule allDue = new Job.Schedule(100_000, 1, 0);
        JobExecution execution = new JobExecution(
                job(TERMS, List.of(step(TASKS_PER_OCCURRENCE, 1, List.of())), allDue), new RunEstimates());
        execution.openDueOccurrences(NOW_MILLIS);
        assertThat(execution.tasks()).hasSize(MAX_OPEN_TASKS);
        execution.closeOccurrence(0, NOW_MILLIS);
        execution.openDueOccurrences(NOW_MILLIS);
        assertThat(execution.tasks()).hasSize(MAX_OPEN_TASKS);
        assertThat(execution.task(new TaskId("j", MAX_OPEN_TASKS / TASKS_PER_OCCURRENCE, 0, 0)))
                .isNotNull();
    }

    /** Guards against an objective that wraps into the past since an estimate or a factor is very large. */
    @Test
    void aLongObjectiveIsInTheFuture() {
        for (double stretch : List.of(3.0, 1e30, Double.POSITIVE_INFINITY)) {
            for (long estimate : List.of(0L, 1_000L, Long.MAX_VALUE / 4)) {
                Job.Terms terms = new Job.Terms(0, 2, stretch, 5_000);
                Job job = job(terms, List.of(step(1, estimate, List.of())), Job.Schedule.NOW);
                assertWithMessage("%s times %s", stretch, estimate)
                        .that(Objective.of(job).deadlineStatus(0, NOW_MILLIS))
                        .isNotEqualTo(Objective.DeadlineStatus.MISSED);
            }
        }
    }

    /** Guards against a record of a job that ends each leader that reads it. */
    @Test
    void aStepDependsOnEarlierStepsOnly() {
        for (int other : List.of(-1, 1, 5)) {
            List<Step> steps = List.of(step(1, 1, List.of()), step(1, 1, List.of(other)));
            assertThrows(IllegalArgumentException.class, () -> job(TERMS, steps, Job.Schedule.NOW));
        }
        assertThrows(IllegalArgumentException.class, () -> step(0, 1, List.of()));
        assertThrows(NullPointerException.class, () -> job(null, List.of(), Job.Schedule.NOW));
    }
}
