package org.acaciaport.node;

import org.acaciaport.pool.Job;

/**
 * Finds the jobs that callers ask for, once the replica can tell.
 *
 * <p>Thread-safe.
 */
final class JobFinder {
    private final Replica replica;
    private final TopicConsumer jobConsumer;

    JobFinder(Replica replica, TopicConsumer jobConsumer) {
        this.replica = replica;
        this.jobConsumer = jobConsumer;
    }

    /**
     * Returns the job that a call may see, or null if there is certainly none. A replica that has not been complete yet
     * may lack the job, or the latest of its state.
     *
     * @throws StaleReplicaException if the replica lacks the job and cannot be brought up to date in time
     */
    JobEntry find(JobService.Access.Granted access, String id, long deadline) throws StaleReplicaException {
        JobEntry entry = replica.asOf() == null ? null : replica.find(id);
        if (entry == null) {
            if (!catchUp(deadline)) {
                throw new StaleReplicaException();
            }
            entry = replica.find(id);
        }
        return entry == null || !isOpenTo(access, entry.job()) ? null : entry;
    }

    /**
     * Returns whether a call may see and cancel a job: one of its account, or one by its queue if the queue is public
     * now or was when the job was handed in. Only calls by a public queue have no account.
     */
    private static boolean isOpenTo(JobService.Access.Granted access, Job job) {
        boolean anonymous = access.account().isEmpty() || job.account().isEmpty();
        return job.account().equals(access.account())
                || anonymous && job.queue().equals(access.queue().name());
    }

    /** Brings the replica up to date; returns false if that takes longer than the caller waits. */
    boolean catchUp(long deadline) {
        return jobConsumer.catchUp(deadline - JobService.ANSWER_RESERVE_MILLIS * Clocks.NANOS_PER_MILLI);
    }

    /** Thrown when a stale replica cannot show whether a job exists. */
    static final class StaleReplicaException extends Exception {
        private static final long serialVersionUID = 1L;

        JobService.Answer answer() {
            return new JobService.Answer.Refused("this node's copy of the jobs is not current");
        }
    }
}
