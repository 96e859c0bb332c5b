package org.acaciaport.pool;

/**
 * A run that must have ended, though its target has not reported the end. It may still be reported as failed, so it
 * counts as a possible failure until it is settled: the target reports it, or shows that it never will.
 *
 * <p>Immutable, but {@link #add} and {@link #settle} change the task and the target. Confined to the thread of the
 * pool.
 *
 * @param task the task of the run
 * @param run run number of the task
 * @param target target that the run was sent to
 * @param incarnation incarnation of the target that the run was sent to
 * @param concludedNanos monotonic clock reading when the end was concluded or restored, in nanoseconds
 */
record UnreportedRun(TaskExecution task, int run, TargetState target, long incarnation, long concludedNanos) {
    /** Returns the newest run of {@code task}, which must be on a target. */
    static UnreportedRun ofNewest(TaskExecution task, ClockReading now) {
        return new UnreportedRun(task, task.lastRun, task.target, task.incarnation, now.monotonicNanos());
    }

    /** Adds this run to the task and the target. */
    void add() {
        task.unreportedRuns.put(run, this);
        target.unreportedRuns.add(this);
    }

    /** Removes this run from the task and the target: its end counts now, or never will. */
    void settle() {
        task.unreportedRuns.remove(run);
        target.unreportedRuns.remove(this);
    }
}
