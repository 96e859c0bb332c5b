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

    /** First percentage that was reported of the newest run; negative before. */
    int firstPercent = -1;

    /** When {@code firstPercent} was reported, on the steady clock, in nanoseconds. */
    long firstPercentNanos;

    /** When {@code percent} last rose, on the steady clock, in nanoseconds. */
    long advancedNanos;

    TaskRun(TaskId id, StepRun step) {
        this.id = id;
        this.step = step;
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
    boolean crawls(Moment now) {
        boolean observed = now.secondsSince(confirmedNanos) >= LEAST_OBSERVED_SECONDS;
        if (gained() < 1 || !observed || step.farApart(this)) {
            return false;
        }
        double whole = ALL_DONE_PERCENT * secondsPerPercent();
        return whole > CRAWL_FACTOR * step.spec.estimateSeconds() + LEAST_OBSERVED_SECONDS;
    }

    /** Returns the time that the newest run still needs, in seconds, by its rate or else by the estimate. */
    double secondsLeft(Moment now) {
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
        return step.spec.charged();
    }

    Job job() {
        return step.job.job;
    }
}
