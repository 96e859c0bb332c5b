package org.acaciaport.node;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;

/**
 * The progress of a job as it is written to the log.
 *
 * <p>Immutable. The components are those of {@link JobProgress}, but for the following.
 *
 * @param doneOccurrences ranges of occurrences, see {@link OccurrenceRanges}
 * @param tasks progress of the tasks, which only earlier builds wrote here
 */
record ProgressRecord(
        String id, JobState state, long endedMillis, List<Integer> doneOccurrences, List<TaskRecord> tasks) {
    /** Creates a record with immutable copies of the lists. */
    ProgressRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(state, "state");
        doneOccurrences = List.copyOf(doneOccurrences);
        tasks = List.copyOf(tasks);
    }

    static ProgressRecord of(JobProgress progress) {
        return new ProgressRecord(
                progress.id(),
                progress.state(),
                progress.endedMillis(),
                OccurrenceRanges.compact(progress.doneOccurrences()),
                progress.tasks().stream().map(TaskRecord::of).toList());
    }

    /**
     * Returns the progress.
     *
     * @throws IOException if the ranges are malformed
     */
    JobProgress toProgress() throws IOException {
        return new JobProgress(
                id,
                state,
                endedMillis,
                OccurrenceRanges.expand(doneOccurrences),
                tasks.stream().map(TaskRecord::toTask).toList());
    }
}
