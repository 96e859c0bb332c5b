package org.acaciaport.node;

import java.util.Map;

/**
 * How much longer than declared the latest steps of each queue took, as the leader writes it to the log.
 *
 * <p>Immutable. In a record of its own, since earlier builds reject an outlook with unknown fields and skip unknown
 * keys.
 *
 * @param percents 90th percentile of actual by declared durations, by queue, in percent
 */
record DeclaredDurationsRecord(Map<String, Integer> percents) {
    static final DeclaredDurationsRecord NONE = new DeclaredDurationsRecord(Map.of());

    private static final int MIN_PERCENT = 100;

    /** Percentage that is assumed of a queue without one: durations are declared as low as a tenth. */
    static final int MAX_PERCENT = 1_000;

    /**
     * Creates a record with an immutable copy of {@code percents}.
     *
     * @throws IllegalArgumentException if a percentage is out of range
     */
    DeclaredDurationsRecord {
        percents = Map.copyOf(percents);
        percents.forEach((queue, percent) -> {
            if (percent < MIN_PERCENT || percent > MAX_PERCENT) {
                throw new IllegalArgumentException("the percentage of queue " + queue + " is " + percent);
            }
        });
    }
}
