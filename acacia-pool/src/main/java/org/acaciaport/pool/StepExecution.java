package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * One step of one occurrence as the pool sees it.
 *
 * <p>Mutable, for the pool's thread only.
 */
final class StepExecution {
    final JobExecution job;
    final Step spec;
    final int occurrence;
    final int number;
    final List<TaskExecution> tasks = new ArrayList<>();
    int doneTaskCount;

    /** Newest run of a gang that failed; several members may report the same failure. */
    int lastFailedRun;

    /** Whether a run of it was moved off a slow target already; estimates may be wrong, so that is done once. */
    boolean stragglerHandled;

    /** How often runs of it were stopped in favour of other work; each time makes the next dearer. */
    int preemptionCount;

    /** When running work is searched again for room, on the steady clock, in nanoseconds; a search costs much. */
    long nextSearchNanos;

    /** Until when an urgent unit keeps room that other work still takes, on the steady clock, in nanoseconds. */
    long reservationExpiresNanos;

    /** When its tasks' turn came, on the steady clock, in nanoseconds; 0 before. */
    long readyNanos;

    StepExecution(JobExecution job, int occurrence, int number) {
        this.job = job;
        this.spec = job.spec.steps().get(number);
        this.occurrence = occurrence;
        this.number = number;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskExecution(new TaskId(job.spec.id(), occurrence, number, i), this));
        }
    }

    /** Returns whether {@code task} runs away from its data, or from the rest of a gang that should be on one rack. */
    boolean lacksLocality(TaskExecution task) {
        String near = spec.constraints().nearRack();
        if (!near.isEmpty() && !near.equals(task.target.rack())) {
            return true;
        }
        if (!spec.constraints().tight()) {
            return false;
        }
        for (TaskExecution other : tasks) {
            if (other.target != null && !other.target.rack().equals(task.target.rack())) {
                return true;
            }
        }
        return false;
    }

    /** Returns how long its occurrence can wait and still be done within its objective, in milliseconds. */
    long slackMillis(ClockReading now) {
        return job.objective.slackMillis(occurrence, now.wallClockMillis());
    }

    boolean isDone() {
        return doneTaskCount == tasks.size();
    }
}
