package org.acaciaport.pool;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * How much longer than declared the latest steps of each queue took.
 *
 * <p>Keeps the latest {@value #WINDOW} steps of at most {@value #MAX_QUEUES} queues, of which the one that was recorded
 * least recently is dropped. Mutable and not thread-safe; confined to the thread of the pool.
 */
final class DeclaredDurations {
    /** Number of queues; with names of usual length, their factors take under 300 bytes in the log. */
    static final int MAX_QUEUES = 8;

    private static final int WINDOW = 50;

    /** Number of steps from which a factor is given. */
    static final int MIN_STEPS = 10;

    private static final double PERCENTILE = 0.9;

    /** Bounds of a factor, in percent; durations are declared as low as a tenth. */
    static final int MIN_PERCENT = 100;

    static final int MAX_PERCENT = 1_000;

    /** Unit to which factors are rounded up, in percent, so that they seldom change. */
    private static final int ROUNDING_PERCENT = 10;

    /** The queues, the one recorded least recently first. */
    private final Map<String, Ratios> queues = new LinkedHashMap<>();

    /** The latest ratios of actual to declared durations, as a ring. */
    private static final class Ratios {
        private final double[] ring = new double[WINDOW];
        private int count;

        void add(double ratio) {
            ring[count % WINDOW] = ratio;
            count = count == 2 * WINDOW - 1 ? WINDOW : count + 1;
        }

        int percent() {
            double[] sorted = Arrays.copyOf(ring, Math.min(count, WINDOW));
            Arrays.sort(sorted);
            double high = sorted[(int) (PERCENTILE * (sorted.length - 1))];
            long percent = (long) Math.ceil(high * 100 / ROUNDING_PERCENT) * ROUNDING_PERCENT;
            return Math.clamp(percent, MIN_PERCENT, MAX_PERCENT);
        }
    }

    /** Records a step; a declared duration of 0 is unknown and does not count. */
    void record(String queue, double actualSeconds, double declaredSeconds) {
        if (declaredSeconds <= 0 || actualSeconds < 0) {
            return;
        }
        Ratios known = queues.remove(queue);
        Ratios ratios = known == null ? new Ratios() : known;
        ratios.add(actualSeconds / declaredSeconds);
        queues.put(queue, ratios);
        if (queues.size() > MAX_QUEUES) {
            queues.remove(queues.keySet().iterator().next());
        }
    }

    /** Returns the 90th percentile of actual by declared durations of each queue, in percent. */
    Map<String, Integer> percentByQueue() {
        Map<String, Integer> percents = new TreeMap<>();
        queues.forEach((queue, ratios) -> {
            if (ratios.count >= MIN_STEPS) {
                percents.put(queue, ratios.percent());
            }
        });
        return percents;
    }
}
