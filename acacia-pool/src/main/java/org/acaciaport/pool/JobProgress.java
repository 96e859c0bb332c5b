package org.acaciaport.pool;

import java.util.List;
import java.util.Objects;

/**
 * The persistent progress of a job. Together with the {@link Job}, it is all that a new leader needs to take over.
 *
 * <p>Immutable.
 *
 * @param id id of the job
 * @param state state of the job
 * @param endedMillis time at which the job ended, in milliseconds since the Unix epoch; 0 until then
 * @param doneOccurrences indices of the occurrences whose tasks are all done; empty once the job has ended
 * @param tasks tasks of other occurrences for which a start was decided at least once; once the job has ended, only
 *     those whose newest run may still be active
 */
public record JobProgress(
        String id, JobState state, long endedMillis, List<Integer> doneOccurrences, List<Task> tasks) {
    /** Creates a record with immutable copies of the lists. */
    public JobProgress {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(state, "state");
        doneOccurrences = List.copyOf(doneOccurrences);
        tasks = List.copyOf(tasks);
    }

    /** Returns this progress without that of its tasks. */
    public JobProgress withoutTasks() {
        return withTasks(List.of());
    }

    /** Returns this progress with {@code occurrences} in place of its own. */
    public JobProgress withDoneOccurrences(List<Integer> occurrences) {
        return new JobProgress(id, state, endedMillis, occurrences, tasks);
    }

    /** Returns this progress with {@code tasks} in place of its own. */
    public JobProgress withTasks(List<Task> tasks) {
        return new JobProgress(id, state, endedMillis, doneOccurrences, tasks);
    }

    /**
     * The persistent progress of a task.
     *
     * @param occurrence index of the occurrence of a recurring job, from 0
     * @param step index of the step in the job, from 0
     * @param index index of the task in the step, from 0
     * @param lastRun run number of the newest run that was decided on; it may not have started
     * @param failures number of failed runs; for a gang, counted on its first task
     * @param done whether the task is done
     * @param target target on which the newest run may be active; empty if that run is known to have ended
     * @param incarnation incarnation of {@code target} to which the run was sent; 0 if {@code target} is empty
     * @param saved newest checkpoint; empty if there is none
     * @param ends what is known of the ends of the runs
     */
    public record Task(
            int occurrence,
            int step,
            int index,
            int lastRun,
            int failures,
            boolean done,
            String target,
            long incarnation,
            String saved,
            RunEnds ends) {
        /** Requires texts, which may be empty. */
        public Task {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(saved, "saved");
            Objects.requireNonNull(ends, "ends");
        }

        /** Creates progress of which only the number of failures is known. */
        public Task(
                int occurrence,
                int step,
                int index,
                int lastRun,
                int failures,
                boolean done,
                String target,
                long incarnation,
                String saved) {
            this(
                    occurrence,
                    step,
                    index,
                    lastRun,
                    failures,
                    done,
                    target,
                    incarnation,
                    saved,
                    done ? RunEnds.NONE : RunEnds.NONE.withFailures(failures, lastRun, target.isEmpty()));
        }

        /** Returns this progress with what is known of the ends, with at least as many failures. */
        public Task withEnds(RunEnds known) {
            RunEnds complete = done ? RunEnds.NONE : known.withFailures(failures, lastRun, target.isEmpty());
            return new Task(occurrence, step, index, lastRun, failures, done, target, incarnation, saved, complete);
        }
    }
}
