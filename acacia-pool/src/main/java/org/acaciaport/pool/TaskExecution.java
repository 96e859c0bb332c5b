package org.acaciaport.pool;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The execution state of one task.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool. {@code target} is null exactly in the phases
 * WAITING and DONE.
 */
final class TaskExecution {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int COMPLETE_PERCENT = 100;

    /** Minimum run time before the progress rate of a run is evaluated, in seconds. */
    private static final double MIN_OBSERVATION_SECONDS = 0.8;

    /** Typical time between stopping a run and starting the next one, in seconds. */
    private static final double RESTART_DELAY_SECONDS = 0.5;

    /** Minimum observed progress for predicting the end of a run from its own rate, in percent. */
    private static final int MIN_RATE_SAMPLE_PERCENT = 5;

    final TaskId id;
    final StepExecution step;
    Phase phase = Phase.WAITING;

    /** Run number of the newest run; 0 before the first. */
    int lastRun;

    /** Numbers of the runs that were reported as failed; for a gang, kept for its first task. */
    final Set<Integer> failedRuns = new TreeSet<>();

    /** The runs that have ended without a report, by number. */
    final Map<Integer, UnreportedRun> unreportedRuns = new TreeMap<>();

    /** Newest checkpoint; empty if there is none. */
    String checkpoint = "";

    TargetState target;

    /** Incarnation of the target that the newest run was sent to. */
    long incarnation;

    /** Monotonic clock reading at the confirmation of the newest run, in nanoseconds; 0 while it is unconfirmed. */
    long confirmedNanos;

    /** Monotonic clock reading at the newest reservation of resources, in nanoseconds. */
    long reservedNanos;

    /**
     * Monotonic clock reading, in nanoseconds, until which a unit of the highest priority keeps a reservation whose
     * resources are still in use.
     */
    long reservationExpiresNanos;

    /** Monotonic clock reading at the newest stop command, in nanoseconds. */
    long stopSentNanos;

    /** Monotonic clock reading at the first stop command for the newest run, in nanoseconds. */
    long stoppingSinceNanos;

    /** Monotonic clock reading when the newest run was known to have ended, in nanoseconds; 0 before that. */
    long runEndedNanos;

    /** Number of runs that were stopped because they stalled. */
    int stallCount;

    /** Reported progress of the newest run, from 0 to 100. */
    int percent;

    /** First known progress of the newest run, from 0 to 100; negative until it is known. */
    int firstPercent = -1;

    /** Monotonic clock reading at the report of {@code firstPercent}, in nanoseconds. */
    long firstPercentNanos;

    /** Monotonic clock reading at the last change of {@code percent}, in nanoseconds. */
    long lastProgressNanos;

    /** Expected duration of the newest run on its target, in seconds. */
    double expectedSeconds;

    TaskExecution(TaskId id, StepExecution step) {
        this.id = id;
        this.step = step;
        expectedSeconds = step.spec.estimateSeconds();
    }

    /** Records that the newest run has started. The initial progress of a run that resumes a checkpoint is unknown. */
    void confirmRun(long nowNanos) {
        confirmedNanos = nowNanos;
        lastProgressNanos = nowNanos;
        percent = 0;
        firstPercent = checkpoint.isEmpty() ? 0 : -1;
        firstPercentNanos = nowNanos;
    }

    /** Records the reported progress of the newest run. */
    void recordProgress(int reportedPercent, long nowNanos) {
        if (firstPercent < 0) {
            firstPercent = reportedPercent;
            firstPercentNanos = nowNanos;
        }
        if (reportedPercent != percent) {
            percent = reportedPercent;
            lastProgressNanos = nowNanos;
        }
    }

    /**
     * Returns whether the newest run is known to be much slower than estimated; false until its rate is known.
     *
     * @param usualFactor multiple of its estimate that a run may take
     */
    boolean isStraggler(double usualFactor, ClockReading now) {
        boolean observed = now.secondsSince(confirmedNanos) >= MIN_OBSERVATION_SECONDS;
        if (gainedPercent() < 1 || !observed || step.lacksLocality(this)) {
            return false;
        }
        return projectedRunSeconds() > usualFactor * expectedSeconds + MIN_OBSERVATION_SECONDS;
    }

    /** Returns whether the newest run ran from its beginning on targets near its data or each other. */
    boolean isMeasurable() {
        return target != null && confirmedNanos != 0 && firstPercent == 0 && !step.lacksLocality(this);
    }

    /**
     * Returns whether a slow run would probably end sooner on another target. Either a slow target or a low estimate
     * may be the cause, so the duration elsewhere is taken as the mean of the estimate and the projection of this run.
     */
    boolean wouldEndSoonerElsewhere() {
        double restartedSeconds = (expectedSeconds + projectedRunSeconds()) / 2;
        double savedFraction = step.spec.mode().checkpoint() ? (double) percent / COMPLETE_PERCENT : 0;
        double remaining = (COMPLETE_PERCENT - percent) * secondsPerPercent();
        return remaining > restartedSeconds * (1 - savedFraction) + RESTART_DELAY_SECONDS;
    }

    /** Returns the total duration of the newest run at its observed rate, in seconds. */
    double projectedRunSeconds() {
        return COMPLETE_PERCENT * secondsPerPercent();
    }

    /**
     * Returns the predicted time until the newest run completes, in seconds. Uses the observed rate of the run, or its
     * expected duration while too little progress was observed.
     */
    double remainingSeconds(ClockReading now) {
        if (gainedPercent() < MIN_RATE_SAMPLE_PERCENT) {
            return Math.max(0, expectedSeconds - now.secondsSince(confirmedNanos));
        }
        double remaining = (COMPLETE_PERCENT - percent) * secondsPerPercent();
        return Math.max(0, remaining - now.secondsSince(lastProgressNanos));
    }

    /** Returns the progress of the newest run since {@code firstPercent}, in percent; 0 while that is unknown. */
    int gainedPercent() {
        return firstPercent < 0 ? 0 : percent - firstPercent;
    }

    /** Returns the time in which the newest run made the progress since {@code firstPercent}, in seconds. */
    double observedSeconds() {
        return (lastProgressNanos - firstPercentNanos) / NANOS_PER_SECOND;
    }

    private double secondsPerPercent() {
        return observedSeconds() / gainedPercent();
    }

    /** Returns whether {@code run} is the newest run and may be active on {@code on}. */
    boolean isActive(int run, TargetState on) {
        return lastRun == run && phase.mayOccupyTarget() && target == on;
    }

    /** Returns what is known of the ends of the runs. */
    RunEnds ends() {
        if (phase == Phase.DONE || failedRuns.isEmpty() && unreportedRuns.isEmpty()) {
            return RunEnds.NONE;
        }
        List<RunEnds.Unreported> unreported = unreportedRuns.values().stream()
                .map(each -> new RunEnds.Unreported(each.run(), each.target().id, each.incarnation()))
                .toList();
        return new RunEnds(List.copyOf(failedRuns), unreported);
    }

    Resources demand() {
        return step.spec.chargedResources();
    }

    Job job() {
        return step.job.spec;
    }
}
