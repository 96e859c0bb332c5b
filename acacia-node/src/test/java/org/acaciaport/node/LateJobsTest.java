package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.Test;

/** Tests which jobs count as accepted in vain. */
final class LateJobsTest {
    private static final long ACCEPTED_MILLIS = 1_000_000;

    private final Replica replica = new Replica();
    private final MetricRegistry metrics = new MetricRegistry();
    private final LateJobs lateJobs = new LateJobs(replica, metrics);

    private void accept(String id, Job.Schedule schedule) {
        Step step = new Step(1, Resources.NONE, 2_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        // The objective is 1.5 times 2,000 ms and 250 ms, so the job is of use for 9,750 ms.
        Job.Terms terms = new Job.Terms(0, 3, 1.5, 250);
        replica.apply(
                JobRecords.encode(new Job(id, "q", "s", "a", terms, "", List.of(step), schedule, ACCEPTED_MILLIS)),
                replica.nextOffset());
    }

    private long countEndedAfter(String id, long millis) {
        return countEndedAfter(id, millis, JobState.DONE);
    }

    private long countEndedAfter(String id, long millis, JobState state) {
        JobProgress done = new JobProgress(id, state, ACCEPTED_MILLIS + millis, List.of(), List.of());
        lateJobs.record(List.of(done));
        return metrics.counter("admission.accepted-late").getCount();
    }

    /** Guards against a count that grows each time the progress of one job is written. */
    @Test
    void aJobThatEndsOfNoUseCountsOnce() {
        accept("a", Job.Schedule.NOW);
        accept("b", Job.Schedule.NOW);
        assertThat(countEndedAfter("a", 9_750)).isEqualTo(0);
        assertThat(countEndedAfter("b", 9_751)).isEqualTo(1);
        assertThat(countEndedAfter("b", 9_751)).isEqualTo(1);
    }

    /** Guards against jobs counted as late whose declared duration is a fraction of the actual one. */
    @Test
    void declaredDurationsCountAsLongAsThoseOfTheirQueueLatelyTook() {
        replica.apply(JobRecords.encode(new DeclaredDurationsRecord(Map.of("q", 200))), replica.nextOffset());
        accept("a", Job.Schedule.NOW);
        accept("b", Job.Schedule.NOW);
        assertThat(countEndedAfter("a", 18_750)).isEqualTo(0);
        assertThat(countEndedAfter("b", 18_751)).isEqualTo(1);
    }

    /** Guards against a count of wrong acceptances that includes what callers cancelled or what failed. */
    @Test
    void cancelledAndFailedJobsDoNotCount() {
        accept("a", Job.Schedule.NOW);
        accept("b", Job.Schedule.NOW);
        assertThat(countEndedAfter("a", 60_000, JobState.CANCELLED)).isEqualTo(0);
        assertThat(countEndedAfter("b", 60_000, JobState.FAILED)).isEqualTo(0);
    }

    @Test
    void recurringJobsDoNotCount() {
        accept("a", new Job.Schedule(2, ACCEPTED_MILLIS, 60_000));
        assertThat(countEndedAfter("a", 60_000)).isEqualTo(0);
    }
}
