package org.acaciaport.node;

import java.util.Objects;
import org.acaciaport.pool.JobProgress;

/**
 * The progress of a task as it is written to the log. What is known of the ends of its runs has a record of its own
 * under {@link JobRecords#ENDS_PREFIX}, since earlier builds reject unknown fields of this one.
 *
 * <p>Immutable. The components are those of {@link JobProgress.Task}.
 */
record TaskRecord(
        int occurrence,
        int step,
        int index,
        int lastRun,
        int failures,
        boolean done,
        String target,
        long incarnation,
        String saved) {
    /** Requires texts, which may be empty. */
    TaskRecord {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(saved, "saved");
    }

    static TaskRecord of(JobProgress.Task task) {
        return new TaskRecord(
                task.occurrence(),
                task.step(),
                task.index(),
                task.lastRun(),
                task.failures(),
                task.done(),
                task.target(),
                task.incarnation(),
                task.saved());
    }

    /** Returns the progress; which runs have failed is assumed from their number. */
    JobProgress.Task toTask() {
        return new JobProgress.Task(occurrence, step, index, lastRun, failures, done, target, incarnation, saved);
    }
}
