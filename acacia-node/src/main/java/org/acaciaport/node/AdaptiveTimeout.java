package org.acaciaport.node;

/**
 * Estimates how long to wait for an answer from the durations of earlier calls.
 *
 * <p>Safe for use by several threads.
 */
final class AdaptiveTimeout {
    /** Shortest wait, in milliseconds. */
    private static final long LEAST_MILLIS = 300;

    /** Longest wait, in milliseconds. */
    private static final long MOST_MILLIS = 1_500;

    /** How many times the usual duration a call may take. */
    private static final int FACTOR = 4;

    /** Weight of the newest duration. */
    private static final double WEIGHT = 0.25;

    /** Usual duration; long before the first answer, since a first call also loads classes. */
    private double usualMillis = 250;

    private long backedOffMillis;

    /** Returns how long to wait for the next answer, in milliseconds. */
    synchronized long millis() {
        long usual = (long) (FACTOR * usualMillis);
        return Math.min(MOST_MILLIS, Math.max(Math.max(LEAST_MILLIS, usual), backedOffMillis));
    }

    /** Takes note of an answer that took {@code millis} milliseconds. */
    synchronized void answered(double millis) {
        usualMillis += WEIGHT * (millis - usualMillis);
        backedOffMillis = 0;
    }

    /** Takes note that no answer came in time; the next call may take longer. */
    synchronized void missed() {
        backedOffMillis = Math.min(MOST_MILLIS, 2 * millis());
    }
}
