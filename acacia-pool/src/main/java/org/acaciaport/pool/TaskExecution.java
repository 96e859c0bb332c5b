package org.acaciaport.pool;

/**
 * One task as the pool sees it.
 *
 * <p>Mutable, for the pool's thread only. {@code target} is null exactly in the phases WAITING and DONE.
 */
final class TaskExecution {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int COMPLETE_PERCENT = 100;

    /** Time after which a run's rate is judged, in seconds. */
    private static final double MIN_OBSERVATION_SECONDS = 0.8;

    /** How many times its estimate a run may take; estimates are rough. */
    private static final double STRAGGLER_FACTOR = 3.0;

    /** Usual time between the stop of a run and the start of the next, in seconds. */
    private static final double RESTART_DELAY_SECONDS = 0.5;

    /** Progress from which on a run's own rate is used, in percent. */
    private static final int MIN_RATE_SAMPLE_PERCENT = 5;

    final TaskId id;
    final StepExecution step;
    Phase phase = Phase.WAITING;
    int lastRun;
    int failures;
    String checkpoint = "";
    TargetState target;

    /** Life of the target that the run was sent to. */
    long incarnation;

    /** When the newest run was confirmed, on the steady clock, in nanoseconds. */
    long confirmedNanos;

    /** When the newest stop was sent, on the steady clock, in nanoseconds. */
    long stopSentNanos;

    int percent;

    /** First percentage that is known of the newest run; negative before. */
    int firstPercent = -1;

    /** When {@code firstPercent} was reported, on the steady clock, in nanoseconds. */
    long firstPercentNanos;

    /** When {@code percent} last rose, on the steady clock, in nanoseconds. */
    long lastProgressNanos;

    TaskExecution(TaskId id, StepExecution step) {
        this.id = id;
        this.step = step;
    }

    /** Takes note that the newest run is there. One that resumes saved progress begins at an unknown percentage. */
    void confirmRun(long nowNanos) {
        confirmedNanos = nowNanos;
        lastProgressNanos = nowNanos;
        percent = 0;
        firstPercent = checkpoint.isEmpty() ? 0 : -1;
        firstPercentNanos = nowNanos;
    }

    /** Takes note of how far the newest run is. */
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

    /** Returns whether the newest run is much slower than estimated, once its rate is known. */
    boolean isStraggler(ClockReading now) {
        boolean observed = now.secondsSince(confirmedNanos) >= MIN_OBSERVATION_SECONDS;
        if (gainedPercent() < 1 || !observed || step.lacksLocality(this)) {
            return false;
        }
        return projectedRunSeconds() > STRAGGLER_FACTOR * step.spec.estimateSeconds() + MIN_OBSERVATION_SECONDS;
    }

    /**
     * Returns whether a slow run would probably end sooner on another target. Either the target or the estimate may be
     * the cause, so a run elsewhere is taken to last half-way between the estimate and this run.
     */
    boolean wouldEndSoonerElsewhere() {
        double restartedSeconds = (step.spec.estimateSeconds() + projectedRunSeconds()) / 2;
        double savedFraction = step.spec.mode().checkpoint() ? (double) percent / COMPLETE_PERCENT : 0;
        double remaining = (COMPLETE_PERCENT - percent) * secondsPerPercent();
        return remaining > restartedSeconds * (1 - savedFraction) + RESTART_DELAY_SECONDS;
    }

    /** Returns how long the whole of the newest run would take at its rate so far, in seconds. */
    private double projectedRunSeconds() {
        return COMPLETE_PERCENT * secondsPerPercent();
    }

    /** Returns the time that the newest run still needs, in seconds, by its rate or else by the estimate. */
    double remainingSeconds(ClockReading now) {
        if (gainedPercent() < MIN_RATE_SAMPLE_PERCENT) {
            return Math.max(0, step.spec.estimateSeconds() - now.secondsSince(confirmedNanos));
        }
        double remaining = (COMPLETE_PERCENT - percent) * secondsPerPercent();
        return Math.max(0, remaining - now.secondsSince(lastProgressNanos));
    }

    /** Returns the progress of the newest run since its first report, in percent; 0 before. */
    private int gainedPercent() {
        return firstPercent < 0 ? 0 : percent - firstPercent;
    }

    private double secondsPerPercent() {
        return (lastProgressNanos - firstPercentNanos) / NANOS_PER_SECOND / gainedPercent();
    }

    Resources demand() {
        return step.spec.chargedResources();
    }

    Job job() {
        return step.job.spec;
    }
}
