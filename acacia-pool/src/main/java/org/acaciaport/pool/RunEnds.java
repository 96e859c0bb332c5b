package org.acaciaport.pool;

import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

/**
 * What is known of the ends of the runs of a task, apart from its newest run.
 *
 * <p>Immutable.
 *
 * @param failedRuns numbers of the runs that were reported as failed, in ascending order; for a gang, kept for its
 *     first task
 * @param unreported runs that have ended, but whose end the target has not reported
 */
public record RunEnds(List<Integer> failedRuns, List<Unreported> unreported) {
    /** Nothing is known. */
    public static final RunEnds NONE = new RunEnds(List.of(), List.of());

    /** Creates a record with immutable copies of the lists. */
    public RunEnds {
        failedRuns = List.copyOf(failedRuns);
        unreported = List.copyOf(unreported);
    }

    /**
     * A run that has ended, but whose end the target has not reported.
     *
     * @param run run number of the task
     * @param target target that the run was sent to
     * @param incarnation incarnation of the target that the run was sent to
     */
    public record Unreported(int run, String target, long incarnation) {
        /** Requires a target. */
        public Unreported {
            Objects.requireNonNull(target, "target");
        }
    }

    /**
     * Returns these ends with as many failed runs as {@code failures}, if there are fewer: earlier builds recorded only
     * their number, and a successor may read the number before the runs. The newest runs that have ended are taken, so
     * that a report of one of them does not count again.
     *
     * @param lastRun number of the newest run
     * @param lastRunEnded whether that run is known to have ended
     */
    public RunEnds withFailures(int failures, int lastRun, boolean lastRunEnded) {
        if (failedRuns.size() >= failures) {
            return this;
        }
        TreeSet<Integer> runs = new TreeSet<>(failedRuns);
        for (int run = lastRunEnded ? lastRun : lastRun - 1; run > 0 && runs.size() < failures; run--) {
            runs.add(run);
        }
        return new RunEnds(List.copyOf(runs), unreported);
    }
}
