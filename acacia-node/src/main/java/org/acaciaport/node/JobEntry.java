package org.acaciaport.node;

import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;

/**
 * What the log says of one job.
 *
 * <p>Immutable.
 *
 * @param job what was submitted; null while only later records were seen
 * @param progress newest progress; null before the first
 * @param cancel the cancelling; null if there is none
 */
record JobEntry(Job job, JobProgress progress, CancelRecord cancel) {
    static final JobEntry NONE = new JobEntry(null, null, null);

    JobEntry with(Job value) {
        return new JobEntry(value, progress, cancel);
    }

    JobEntry with(JobProgress value) {
        return new JobEntry(job, value, cancel);
    }

    JobEntry with(CancelRecord value) {
        return new JobEntry(job, progress, value);
    }

    boolean isEmpty() {
        return job == null && progress == null && cancel == null;
    }

    /** Returns the state that callers see. */
    JobState state() {
        if (progress != null && progress.state().isTerminal()) {
            return progress.state();
        }
        if (cancel != null) {
            return JobState.CANCELLED;
        }
        return progress == null ? JobState.QUEUED : progress.state();
    }
}
