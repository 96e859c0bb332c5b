package org.acaciaport.pool;

import java.util.List;

/**
 * The durable record of how far a job is. A successor needs nothing else to go on.
 *
 * <p>Immutable.
 *
 * @param id the job
 * @param state how far it is
 * @param endedMillis when it ended, in milliseconds since 1970; 0 before
 * @param doneOccurrences occurrences of which every task is done
 * @param tasks tasks of other occurrences that have started at least once
 */
public record JobProgress(
        String id, JobState state, long endedMillis, List<Integer> doneOccurrences, List<Task> tasks) {
    /** Copies the lists. */
    public JobProgress {
        doneOccurrences = List.copyOf(doneOccurrences);
        tasks = List.copyOf(tasks);
    }

    /**
     * How far a task is.
     *
     * @param occurrence which run of a recurring job
     * @param step number of its step
     * @param index its number in the step
     * @param lastRun number of its newest start
     * @param failures runs that failed; for a gang, counted on its first task
     * @param done whether it is done
     * @param target where the newest run may be; empty if it is known to be over
     * @param incarnation incarnation of that target
     * @param saved newest checkpoint; empty if there is none
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
            String saved) {}
}
