package org.acaciaport.pool;

/**
 * A simultaneous reading of the monotonic clock and the wall clock.
 *
 * <p>Immutable.
 *
 * @param monotonicNanos monotonic clock, in nanoseconds; comparable only with readings taken in the same process
 * @param wallClockMillis wall clock, in milliseconds since the Unix epoch
 */
public record ClockReading(long monotonicNanos, long wallClockMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the monotonic clock reading {@code millis} milliseconds after this one. */
    public long nanosAfter(long millis) {
        return monotonicNanos + millis * NANOS_PER_MILLI;
    }

    /** Returns the seconds since the monotonic clock reading {@code earlier}; negative if that lies ahead. */
    double secondsSince(long earlier) {
        return (monotonicNanos - earlier) / NANOS_PER_SECOND;
    }

    /** Returns the milliseconds since the monotonic clock reading {@code earlier}; negative if that lies ahead. */
    public long millisSince(long earlier) {
        return (monotonicNanos - earlier) / NANOS_PER_MILLI;
    }
}
