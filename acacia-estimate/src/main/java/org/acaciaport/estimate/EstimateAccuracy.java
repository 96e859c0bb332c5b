package org.acaciaport.estimate;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * How far declared and learned durations are from actual ones, by queue.
 *
 * <p>Keeps a histogram of the absolute log ratio for each; at most {@value #MAX_QUEUES} queues, the least recently used
 * of which is dropped. Mutable and not thread-safe; confined to the thread of the pool.
 */
public final class EstimateAccuracy {
    static final int MAX_QUEUES = 100;

    /** Steps of the histograms per unit of the log ratio. */
    private static final double STEPS = 1_000;

    /** Largest log ratio that is told from others, a factor of 22,000. */
    private static final long MAX_STEPS = 10_000;

    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN = 50;
    private static final double HIGH = 90;

    private final Map<String, Errors> queues = new RunTimes.LruMap<>(MAX_QUEUES);

    private static final class Errors {
        final Histogram declared = new Histogram(MAX_STEPS, SIGNIFICANT_DIGITS);
        final Histogram learned = new Histogram(MAX_STEPS, SIGNIFICANT_DIGITS);
    }

    /**
     * Absolute log ratios of estimated to actual durations.
     *
     * @param count number of steps
     * @param median median of the absolute log ratio
     * @param high its 90th percentile
     */
    public record Ratios(long count, double median, double high) {
        private static Ratios of(Histogram histogram) {
            return new Ratios(
                    histogram.getTotalCount(),
                    histogram.getValueAtPercentile(MEDIAN) / STEPS,
                    histogram.getValueAtPercentile(HIGH) / STEPS);
        }
    }

    /**
     * The accuracy for one queue.
     *
     * @param declared of the declared durations; those that are unknown don't count
     * @param learned of the estimates before the step had been observed
     */
    public record Accuracy(Ratios declared, Ratios learned) {}

    /** Records a step of {@code queue}; durations are at nominal speed, and a declared one of 0 is unknown. */
    void record(String queue, double declaredSeconds, double learnedSeconds, double actualSeconds) {
        Errors errors = queues.computeIfAbsent(queue, name -> new Errors());
        if (declaredSeconds > 0) {
            errors.declared.recordValue(steps(declaredSeconds, actualSeconds));
        }
        errors.learned.recordValue(steps(learnedSeconds, actualSeconds));
    }

    private static long steps(double estimated, double actual) {
        double ratio = Math.abs(Seconds.log(actual) - Seconds.log(estimated));
        return Math.min(MAX_STEPS, Math.round(ratio * STEPS));
    }

    /** Returns the accuracy for {@code queue}; empty if none of its steps has been recorded. */
    public Optional<Accuracy> of(String queue) {
        return Optional.ofNullable(queues.get(queue))
                .map(errors -> new Accuracy(Ratios.of(errors.declared), Ratios.of(errors.learned)));
    }

    /** Returns the accuracy of every queue, by name. */
    public Map<String, Accuracy> all() {
        Map<String, Accuracy> result = new TreeMap<>();
        queues.forEach((queue, errors) ->
                result.put(queue, new Accuracy(Ratios.of(errors.declared), Ratios.of(errors.learned))));
        return result;
    }
}
