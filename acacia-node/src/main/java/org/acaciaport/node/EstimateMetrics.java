package org.acaciaport.node;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.acaciaport.estimate.EstimateAccuracy;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.EstimateSummary;
import org.acaciaport.pool.Pool;
import org.jboss.logging.Logger;

/**
 * Shows on the metrics page and in the log how good the estimates of a term's pool are.
 *
 * <p>Confined to the thread of the term; other threads only read the gauges. The gauges
 * exist from the first report to {@link #close}, so a node that does not lead has none. Queues beyond the {@value
 * #MAX_QUEUES} with the most steps are left out.
 */
final class EstimateMetrics implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EstimateMetrics.class);

    /** Start of the names of all gauges. */
    static final String PREFIX = "estimates.";

    static final int MAX_QUEUES = 20;
    static final long INTERVAL_MILLIS = 10_000;

    private final MetricRegistry metrics;

    /** Immutable; the values of all gauges by name. */
    private volatile Map<String, Double> shown = Map.of();

    private long nextNanos;

    /** Creates the metrics of a term that starts at {@code now}. */
    EstimateMetrics(MetricRegistry metrics, ClockReading now) {
        this.metrics = metrics;
        nextNanos = now.nanosAfter(INTERVAL_MILLIS);
    }

    /** Sets the gauges and writes the line if {@value #INTERVAL_MILLIS} ms have passed since the last time. */
    void reportIfDue(Pool pool, ClockReading now) {
        if (now.monotonicNanos() - nextNanos >= 0) {
            nextNanos = now.nanosAfter(INTERVAL_MILLIS);
            report(pool.estimateSummary());
        }
    }

    /** Sets the gauges and writes the line. */
    void report(EstimateSummary summary) {
        Map<String, Double> values = new HashMap<>();
        values.put(PREFIX + "known-targets", (double) summary.knownTargets());
        values.put(PREFIX + "slowest", summary.slowest());
        values.put(PREFIX + "fastest", summary.fastest());
        StringBuilder queues = new StringBuilder();
        for (Map.Entry<String, EstimateAccuracy.Accuracy> queue : mostUsed(summary.queues())) {
            EstimateAccuracy.Ratios declared = queue.getValue().declared();
            EstimateAccuracy.Ratios learned = queue.getValue().learned();
            String prefix = PREFIX + "queue." + queue.getKey();
            values.put(prefix + ".declared-median", relative(declared.median()));
            values.put(prefix + ".declared-p90", relative(declared.high()));
            values.put(prefix + ".learned-median", relative(learned.median()));
            values.put(prefix + ".learned-p90", relative(learned.high()));
            queues.append(String.format(
                    Locale.ROOT,
                    " %s=steps:%d,declared:%.2f/%.2f,learned:%.2f/%.2f",
                    queue.getKey(),
                    learned.count(),
                    relative(declared.median()),
                    relative(declared.high()),
                    relative(learned.median()),
                    relative(learned.high())));
        }
        show(values);
        String speeds = String.format(Locale.ROOT, "slowest=%.2f fastest=%.2f", summary.slowest(), summary.fastest());
        LOG.infof("estimates: known_targets=%s %s%s", summary.knownTargets(), speeds, queues);
    }

    private static List<Map.Entry<String, EstimateAccuracy.Accuracy>> mostUsed(
            Map<String, EstimateAccuracy.Accuracy> queues) {
        List<Map.Entry<String, EstimateAccuracy.Accuracy>> sorted = new ArrayList<>(queues.entrySet());
        Comparator<Map.Entry<String, EstimateAccuracy.Accuracy>> bySteps =
                Comparator.comparingLong(queue -> -queue.getValue().learned().count());
        sorted.sort(bySteps.thenComparing(Map.Entry::getKey));
        return sorted.subList(0, Math.min(MAX_QUEUES, sorted.size()));
    }

    /** Returns the relative error for an absolute log ratio: 0 if exact, 1 if off by a factor of 2. */
    private static double relative(double logRatio) {
        return Math.expm1(logRatio);
    }

    /** Sets the values of the gauges, adds the new ones and removes those without a value. */
    private void show(Map<String, Double> values) {
        Set<String> gone = new HashSet<>(shown.keySet());
        Set<String> added = new HashSet<>(values.keySet());
        gone.removeAll(values.keySet());
        added.removeAll(shown.keySet());
        shown = Map.copyOf(values);
        added.forEach(name -> metrics.register(name, (Gauge<Double>) () -> shown.getOrDefault(name, 0.0)));
        gone.forEach(metrics::remove);
    }

    /** Removes the gauges. */
    @Override
    public void close() {
        shown.keySet().forEach(metrics::remove);
    }
}
