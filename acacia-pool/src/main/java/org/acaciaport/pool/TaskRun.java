package org.acaciaport.pool;

/**
 * One task as the pool sees it.
 *
 * <p>Mutable, for the pool's thread only. {@code target} is null exactly in the phases WAITING and DONE.
 */
final class TaskRun {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ALL_DONE_PERCENT = 100;

    /** Time after which a run's rate is judged, in seconds. */
    private static final double LEAST_OBSERVED_SECONDS = 0.8;

    /** How many times its estimate a run may take; estimates are rough. */
    private static final double CRAWL_FACTOR = 3.0;

    /** Usual time between the stop of a run and the start of the next, in seconds. */
    private static final double MOVE_SECONDS = 0.5;

    /** Progress from which on a run's own rate is used, in percent. */
    private static final int LEAST_GAIN_PERCENT = 5;

    final TaskId id;
    final StepRun step;
    Phase phase = Phase.WAITING;
    int lastRun;
    int failures;
    String saved = "";
    TargetRun target;

    /** Life of the target that the run was sent to. */
    long incarnation;

    /** When the newest run was confirmed, on the steady clock, in nanoseconds. */
    long confirmedNanos;

    /** When the newest stop was sent, on the steady clock, in nanoseconds. */
    long stopNanos;

    int percent;

    /** First percentage that is known of the newest run; negative before. */
    int firstPercent = -1;

    /** When {@code firstPercent} was reported, on the steady clock, in nanoseconds. */
    long firstPercentNanos;

    /** When {@code percent} last rose, on the steady clock, in nanoseconds. */
    long advancedNanos;

    TaskRun(TaskId id, StepRun step) {
        this.id = id;
        this.step = step;
    }

    /** Takes note that the newest run is there. One that resumes saved progress begins at an unknown percentage. */
    void begin(long nowNanos) {
        confirmedNanos = nowNanos;
        advancedNanos = nowNanos;
        percent = 0;
        firstPercent = saved.isEmpty() ? 0 : -1;
        firstPercentNanos = nowNanos;
    }

    /** Takes note of how far the newest run is. */
    void advance(int reported, long nowNanos) {
        if (firstPercent < 0) {
            firstPercent = reported;
            firstPercentNanos = nowNanos;
        }
        if (reported != percent) {
            percent = reported;
            advancedNanos = nowNanos;
        }
    }

    /** Returns whether the newest run is much slower than estimated, once its rate is known. */
    boolean crawls(ClockReading now) {
        boolean observed = now.secondsSince(confirmedNanos) >= LEAST_OBSERVED_SECONDS;
        if (gained() < 1 || !observed || step.farApart(this)) {
            return false;
        }
        return secondsAtThisRate() > CRAWL_FACTOR * step.spec.estimateSeconds() + LEAST_OBSERVED_SECONDS;
    }

    /**
     * Returns whether a slow run would probably end sooner on another target. Either the target or the estimate may be
     * the cause, so a run elsewhere is taken to last half-way between the estimate and this run.
     */
    boolean endsSoonerElsewhere() {
        double anew = (step.spec.estimateSeconds() + secondsAtThisRate()) / 2;
        double kept = step.spec.mode().checkpoint() ? (double) percent / ALL_DONE_PERCENT : 0;
        double left = (ALL_DONE_PERCENT - percent) * secondsPerPercent();
        return left > anew * (1 - kept) + MOVE_SECONDS;
    }

    /** Returns how long the whole of the newest run would take at its rate so far, in seconds. */
    private double secondsAtThisRate() {
        return ALL_DONE_PERCENT * secondsPerPercent();
    }

    /** Returns the time that the newest run still needs, in seconds, by its rate or else by the estimate. */
    double secondsLeft(ClockReading now) {
        if (gained() < LEAST_GAIN_PERCENT) {
            return Math.max(0, step.spec.estimateSeconds() - now.secondsSince(confirmedNanos));
        }
        double left = (ALL_DONE_PERCENT - percent) * secondsPerPercent();
        return Math.max(0, left - now.secondsSince(advancedNanos));
    }

    /** Returns the progress of the newest run since its first report, in percent; 0 before. */
    private int gained() {
        return firstPercent < 0 ? 0 : percent - firstPercent;
    }

    private double secondsPerPercent() {
        return (advancedNanos - firstPercentNanos) / NANOS_PER_SECOND / gained();
    }

    Resources demand() {
        return step.spec.chargedResources();
    }

    Job job() {
        return step.job.job;
    }
}
