package org.acaciaport.node;

/**
 * A timeout for calls that adapts to the durations of earlier calls.
 *
 * <p>It is a multiple of the moving average of the durations, within bounds, and doubles after each call that timed
 * out. A fixed allowance for the transfer of a long answer is added. Thread-safe.
 */
final class AdaptiveTimeout {
    private static final long MIN_MILLIS = 300;

    private static final long MAX_MILLIS = 1_500;

    /** Multiple of the average duration that a call may take. */
    private static final int DURATION_FACTOR = 4;

    /** Weight of the latest duration in the moving average. */
    private static final double LATEST_WEIGHT = 0.25;

    /** Moving average of the durations. Starts high, since the first call also loads classes. */
    private double averageMillis = 250;

    /** Lower bound of the timeout after calls that timed out, in milliseconds. */
    private long backoffMillis;

    private final long transferMillis;

    /**
     * Creates a timeout.
     *
     * @param transferMillis allowance for the transfer of an answer, in milliseconds
     */
    AdaptiveTimeout(long transferMillis) {
        this.transferMillis = transferMillis;
    }

    /** Returns the timeout of the next call, in milliseconds. */
    synchronized long currentMillis() {
        return transferMillis + withoutTransferMillis();
    }

    private long withoutTransferMillis() {
        long fromAverage = (long) (DURATION_FACTOR * averageMillis);
        return Math.min(MAX_MILLIS, Math.max(Math.max(MIN_MILLIS, fromAverage), backoffMillis));
    }

    /** Records an answer that took {@code millis} milliseconds, and ends the backoff. */
    synchronized void recordAnswer(double millis) {
        averageMillis += LATEST_WEIGHT * (millis - averageMillis);
        backoffMillis = 0;
    }

    /** Records a call that timed out, and doubles the timeout of the next one. */
    synchronized void recordTimeout() {
        backoffMillis = Math.min(MAX_MILLIS, 2 * withoutTransferMillis());
    }
}
