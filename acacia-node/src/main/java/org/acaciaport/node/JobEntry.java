package org.acaciaport.node;

import java.util.Collection;
import java.util.List;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;

/**
 * The records of one job in the log.
 *
 * <p>Immutable.
 *
 * @param job the job as submitted; null if its record has not been read
 * @param progress latest progress, without its tasks unless {@link #withTasks} added them; null before the first
 * @param cancel the cancellation; null if there is none
 * @param service the service that the job has followed its queue to; null if it has not
 * @param tasksEmbedded whether the record of the progress embeds that of the tasks, as earlier builds wrote it
 */
record JobEntry(Job job, JobProgress progress, CancelRecord cancel, ServiceRecord service, boolean tasksEmbedded) {
    static final JobEntry NONE = new JobEntry(null, null, null, null, false);

    JobEntry with(Job value) {
        return new JobEntry(value, progress, cancel, service, tasksEmbedded);
    }

    JobEntry with(JobProgress value) {
        return new JobEntry(job, value, cancel, service, tasksEmbedded);
    }

    JobEntry withTasksEmbedded(boolean value) {
        return new JobEntry(job, progress, cancel, service, value);
    }

    /** Returns this entry with {@code tasks} in its progress; without progress, there are no tasks. */
    JobEntry withTasks(Collection<JobProgress.Task> tasks) {
        return progress == null ? this : with(progress.withTasks(List.copyOf(tasks)));
    }

    JobEntry with(CancelRecord value) {
        return new JobEntry(job, progress, value, service, tasksEmbedded);
    }

    JobEntry with(ServiceRecord value) {
        return new JobEntry(job, progress, cancel, value, tasksEmbedded);
    }

    /** Returns the job, with the service that it has followed its queue to; null if its record has not been read. */
    Job movedJob() {
        return job == null || service == null ? job : job.withService(service.service());
    }

    boolean isEmpty() {
        return job == null && progress == null && cancel == null && service == null;
    }

    /** Returns the state shown to callers. A cancellation takes effect here before the leader has processed it. */
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
