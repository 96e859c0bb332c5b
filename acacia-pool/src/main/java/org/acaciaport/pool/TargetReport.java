package org.acaciaport.pool;

import java.util.List;

/**
 * What a target said of its runs.
 *
 * <p>Immutable.
 *
 * @param target its id
 * @param incarnation its current life
 * @param requestNanos reading of the steady clock before the question was sent
 * @param running runs that are there
 * @param ended ends that were not yet acknowledged, in order
 */
public record TargetReport(
        String target, long incarnation, long requestNanos, List<Running> running, List<Ended> ended) {
    /** Copies the lists. */
    public TargetReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run that is there.
     *
     * @param task the task
     * @param run number of the start
     * @param checkpoint newest checkpoint; empty if there is none
     * @param percent how much of its work is done, 0 to 100
     */
    public record Running(TaskId task, int run, String checkpoint, int percent) {}

    /**
     * A run that is over.
     *
     * @param number position in the target's list of ends, from 1
     * @param task the task
     * @param run number of the start
     * @param reason how it ended
     * @param checkpoint checkpoint to go on from; empty if there is none
     */
    public record Ended(long number, TaskId task, int run, EndReason reason, String checkpoint) {}

    /** How a run ended. */
    public enum EndReason {
        /** It finished its work. */
        DONE,
        /** It failed. */
        FAILED,
        /** It was stopped by an order. */
        STOPPED,
        /** Its lease expired. */
        LAPSED,
        /** Another member of its gang ended. */
        BROKEN,
        /** The other members of its gang did not come. */
        ALONE
    }
}
