package org.acaciaport.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * How far the durations of completed runs were from their estimates, by queue.
 *
 * <p>Estimates are rough, and how rough depends on who gives them. The ratio of duration to estimate is taken as
 * log-normal; until runs have completed, a moderate deviation is assumed. Recording and querying take constant time.
 * Mutable and not thread-safe; confined to the thread of the pool.
 */
final class EstimateErrors {
    /** Number of standard deviations within which a ratio is usual. */
    private static final double USUAL_DEVIATIONS = 2.5;

    /** Ratio that is unusual before runs have completed. */
    private static final double INITIAL_FACTOR = 3.0;

    /** Number of completed runs that the initial assumption counts for. */
    private static final int INITIAL_WEIGHT = 4;

    /** Ratio that is unusual however rough the estimates are. */
    private static final double MAX_FACTOR = 16.0;

    /** Smallest run time or estimate that tells something, in seconds. */
    private static final double MIN_SECONDS = 0.01;

    private final Map<String, Deviation> deviations = new HashMap<>();

    /** The sums of the logarithms of the ratios, and of their squares. */
    private static final class Deviation {
        double count = INITIAL_WEIGHT;
        double sum;
        double squares = INITIAL_WEIGHT * Math.pow(Math.log(INITIAL_FACTOR) / USUAL_DEVIATIONS, 2);

        double usualFactor() {
            double mean = sum / count;
            double variance = Math.max(0, squares / count - mean * mean);
            return Math.exp(mean + USUAL_DEVIATIONS * Math.sqrt(variance));
        }
    }

    /**
     * Records a completed run.
     *
     * @param queue queue of its job
     * @param runSeconds duration of the run, in seconds
     * @param estimateSeconds estimated duration, in seconds
     */
    void record(String queue, double runSeconds, double estimateSeconds) {
        Deviation deviation = deviations.computeIfAbsent(queue, name -> new Deviation());
        double log = Math.log(Math.max(MIN_SECONDS, runSeconds) / Math.max(MIN_SECONDS, estimateSeconds));
        deviation.count++;
        deviation.sum += log;
        deviation.squares += log * log;
    }

    /**
     * Returns the multiple of its estimate up to which a run of {@code queue} is usual, from {@value #INITIAL_FACTOR}
     * to {@value #MAX_FACTOR}.
     */
    double usualFactor(String queue) {
        Deviation deviation = deviations.get(queue);
        return deviation == null ? INITIAL_FACTOR : Math.clamp(deviation.usualFactor(), INITIAL_FACTOR, MAX_FACTOR);
    }
}
