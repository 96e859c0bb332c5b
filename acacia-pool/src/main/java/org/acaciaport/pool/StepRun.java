package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * One step of one occurrence as the pool sees it.
 *
 * <p>Mutable, for the pool's thread only.
 */
final class StepRun {
    final JobRun job;
    final Step spec;
    final int occurrence;
    final int number;
    final List<TaskRun> tasks = new ArrayList<>();
    int doneTasks;

    /** Newest run of a gang that failed; several members may report the same failure. */
    int failedRun;

    /** When its tasks' turn came, on the steady clock, in nanoseconds; 0 before. */
    long readyNanos;

    StepRun(JobRun job, int occurrence, int number) {
        this.job = job;
        this.spec = job.job.steps().get(number);
        this.occurrence = occurrence;
        this.number = number;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskRun(new TaskId(job.job.id(), occurrence, number, i), this));
        }
    }

    boolean done() {
        return doneTasks == tasks.size();
    }

    /** Returns whether no task of the step has a run that may still be there. */
    boolean quiet() {
        for (TaskRun task : tasks) {
            if (task.phase.occupies()) {
                return false;
            }
        }
        return true;
    }
}
