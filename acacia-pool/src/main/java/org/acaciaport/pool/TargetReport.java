package org.acaciaport.pool;

import java.util.List;

/**
 * A report of a target about its runs.
 *
 * <p>Immutable.
 *
 * @param target id of the reporting target
 * @param incarnation current incarnation of the target
 * @param requestNanos monotonic clock reading taken before the report was requested
 * @param running runs in progress
 * @param ended ended runs that were not yet acknowledged, in ascending order of their numbers
 * @param complete whether {@code ended} has all of them; if not, a run that is in neither list may have ended
 */
public record TargetReport(
        String target,
        long incarnation,
        long requestNanos,
        List<Running> running,
        List<Ended> ended,
        boolean complete) {
    /** Creates a report with immutable copies of the lists. */
    public TargetReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /** Returns what the report shows of {@code run} of {@code task}. */
    public Presence presenceOf(TaskId task, int run) {
        if (running.stream().anyMatch(each -> each.task().equals(task) && each.run() == run)) {
            return Presence.RUNNING;
        }
        if (ended.stream().anyMatch(each -> each.task().equals(task) && each.run() == run)) {
            return Presence.ENDED;
        }
        return complete ? Presence.ABSENT : Presence.UNKNOWN;
    }

    /** What a report shows of a run. */
    public enum Presence {
        /** The run is in progress. */
        RUNNING,
        /** The run has ended, and its end is listed. */
        ENDED,
        /** The run is not in progress, and no end of it is unacknowledged. */
        ABSENT,
        /** The run is not in progress, but its end may be one of those that are not listed. */
        UNKNOWN
    }

    /**
     * A run in progress.
     *
     * @param task the task
     * @param run run number of the task
     * @param checkpoint newest checkpoint; empty if there is none
     * @param percent completed share of the work, from 0 to 100
     */
    public record Running(TaskId task, int run, String checkpoint, int percent) {}

    /**
     * A run that has ended.
     *
     * @param number sequence number of the end within the incarnation of the target, from 1
     * @param task the task
     * @param run run number of the task
     * @param reason why the run ended
     * @param checkpoint checkpoint to resume from; empty if there is none
     */
    public record Ended(long number, TaskId task, int run, EndReason reason, String checkpoint) {}

    /** Why a run ended. */
    public enum EndReason {
        /** The run completed its work. */
        DONE,
        /** The run failed. */
        FAILED,
        /** The run was stopped by a command. */
        STOPPED,
        /** The lease of the run expired. */
        LAPSED,
        /** Another member of the gang ended. */
        BROKEN,
        /** The other members of the gang did not start in time. */
        ALONE
    }
}
