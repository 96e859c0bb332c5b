package org.acaciaport.pool;

/**
 * The ends of the members of a gang that were reported for one run.
 *
 * <p>A member ends as broken only because another one ended for a cause of its own. If all others are reported as
 * broken, the last one is that member, and has ended although its target does not answer. Mutable and not thread-safe;
 * confined to the thread of the pool.
 */
final class GangEnds {
    private int run;
    private int broken;
    private int byOwnCause;

    /** Records the end of a member. */
    void record(int endedRun, TargetReport.EndReason reason) {
        if (endedRun != run) {
            run = endedRun;
            broken = 0;
            byOwnCause = 0;
        }
        if (reason == TargetReport.EndReason.BROKEN) {
            broken++;
        } else {
            byOwnCause++;
        }
    }

    /** Returns the member that must have ended without a report; null if that is not certain. */
    TaskExecution unreportedEnd(StepExecution step) {
        if (byOwnCause > 0 || broken != step.tasks.size() - 1) {
            return null;
        }
        for (TaskExecution task : step.tasks) {
            boolean started = task.phase.mayOccupyTarget() && task.confirmedNanos != 0;
            if (started && task.lastRun == run) {
                return task;
            }
        }
        return null;
    }
}
