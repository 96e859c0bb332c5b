package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.acaciaport.pool.Resources;
import org.acaciaport.pool.Step;
import org.junit.jupiter.api.Test;

/** Tests what a node takes as the urgent demand of an account. */
final class UrgentDemandTest {
    private static final AccountTerms LIMITED = AccountTerms.ofLimit(new Resources(0, 0, 8));

    private final Replica replica = new Replica();

    private void submit(String id, int priority, int count, boolean gang) {
        Step.Mode mode = new Step.Mode(gang, false, false, false, false, 0);
        Step step = new Step(count, new Resources(1, 1, 1), 1_000, List.of(), Step.Constraints.NONE, mode);
        Job.Terms terms = new Job.Terms(priority, 3, 1.5, 250);
        Job job = new Job(id, "q", "s", "a", terms, "", List.of(step), Job.Schedule.NOW, 1);
        replica.apply(JobRecords.encode(job), replica.nextOffset());
    }

    private long accelerators(AccountTerms terms) {
        return replica.urgentAccelerators("a", terms);
    }

    /** Guards against refusals of claims that the pool owes, since a gang that cannot start counts as demand. */
    @Test
    void gangsBeyondTheLimitOfTheirAccountDoNotCount() {
        submit("gang", 0, 9, true);
        submit("tasks", 0, 9, false);
        submit("small", 0, 2, true);
        assertThat(accelerators(LIMITED)).isEqualTo(11);
        assertThat(accelerators(AccountTerms.NONE)).isEqualTo(20);
        submit("second", 0, 9, true);
        assertThat(accelerators(LIMITED)).isEqualTo(11);
        assertThat(accelerators(AccountTerms.NONE)).isEqualTo(29);
    }

    /** Guards against a sum that keeps jobs that have ended, were cancelled or deleted, or counts one twice. */
    @Test
    void onlyUnfinishedUrgentJobsCountOnceEach() {
        submit("done", 0, 1, false);
        submit("cancelled", 0, 2, false);
        submit("deleted", 0, 4, false);
        submit("running", 0, 8, false);
        submit("running", 0, 8, false);
        submit("other", 1, 16, false);
        assertThat(accelerators(AccountTerms.NONE)).isEqualTo(15);
        for (String id : List.of("done", "running")) {
            JobState state = id.equals("done") ? JobState.DONE : JobState.RUNNING;
            JobProgress progress = new JobProgress(id, state, 5, List.of(), List.of());
            replica.apply(JobRecords.encode(progress), replica.nextOffset());
        }
        replica.apply(JobRecords.encode(new CancelRecord("cancelled", 5)), replica.nextOffset());
        replica.apply(KeyedRecord.tombstone(JobRecords.JOB_PREFIX + "deleted"), replica.nextOffset());
        assertThat(accelerators(AccountTerms.NONE)).isEqualTo(8);
    }
}
