package org.acaciaport.estimate;

/**
 * A log-normal distribution of a duration in seconds. Immutable.
 *
 * @param logMedian natural logarithm of the median, limited to the range of 1 ms to four months
 * @param logDeviation standard deviation of the logarithm, above 0
 */
public record Distribution(double logMedian, double logDeviation) {
    /** Smallest standard deviation of a logarithm; below it, the far tail can't be computed. */
    static final double MIN_DEVIATION = 0.01;

    /** Largest standard deviation of a logarithm, a factor of about 50. */
    static final double MAX_DEVIATION = 4;

    /** Smallest probability of a quantile, and its distance from 1. */
    private static final double MIN_PROBABILITY = 1e-9;

    /** Checks that both numbers are finite and limits them to their ranges. */
    public Distribution {
        if (!Double.isFinite(logMedian) || !Double.isFinite(logDeviation)) {
            throw new IllegalArgumentException("not finite: " + logMedian + ", " + logDeviation);
        }
        logMedian = Seconds.clampLog(logMedian);
        logDeviation = Math.clamp(logDeviation, MIN_DEVIATION, MAX_DEVIATION);
    }

    /** Returns the median, in seconds. */
    public double medianSeconds() {
        return Math.exp(logMedian);
    }

    /** Returns the duration that is not exceeded with {@code probability}, in seconds. */
    public double quantileSeconds(double probability) {
        double inside = Math.clamp(probability, MIN_PROBABILITY, 1 - MIN_PROBABILITY);
        return Math.exp(Seconds.clampLog(logMedian + logDeviation * Normal.quantile(inside)));
    }

    /**
     * Returns the median of the remaining duration of a run that has lasted {@code elapsedSeconds}, in seconds; never
     * below {@value Seconds#MIN}.
     *
     * <p>In the far tail, the remaining duration grows in proportion to the elapsed time, divided by the number of
     * deviations that it is above the median.
     */
    public double remainingMedianSeconds(double elapsedSeconds) {
        if (!(elapsedSeconds > Seconds.MIN)) {
            return medianSeconds();
        }
        double elapsed = Math.min(elapsedSeconds, Seconds.MAX);
        double z = (Math.log(elapsed) - logMedian) / logDeviation;
        double end = Normal.fromLogSurvival(Normal.logSurvival(z) - Math.log(2));
        double remaining = elapsed * Math.expm1(logDeviation * (end - z));
        return Math.clamp(remaining, Seconds.MIN, Seconds.MAX);
    }

    /** Returns the distribution of the duration on a target of {@code speed} times the nominal speed. */
    public Distribution dividedBySpeed(double speed) {
        if (!Seconds.valid(speed)) {
            throw new IllegalArgumentException("speed: " + speed);
        }
        return new Distribution(logMedian - Math.log(speed), logDeviation);
    }

    double variance() {
        return logDeviation * logDeviation;
    }
}
