package org.acaciaport.pool;

/**
 * One instant on both clocks.
 *
 * <p>Immutable.
 *
 * @param monotonicNanos reading of the steady clock, in nanoseconds; compares only with other readings of this process
 * @param wallClockMillis time of day, in milliseconds since 1970
 */
public record ClockReading(long monotonicNanos, long wallClockMillis) {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Returns the steady reading {@code millis} milliseconds later. */
    public long nanosAfter(long millis) {
        return monotonicNanos + millis * NANOS_PER_MILLI;
    }

    /** Returns the seconds since the steady reading {@code earlier}. */
    double secondsSince(long earlier) {
        return (monotonicNanos - earlier) / NANOS_PER_SECOND;
    }

    /** Returns the milliseconds since the steady reading {@code earlier}. */
    public long millisSince(long earlier) {
        return (monotonicNanos - earlier) / NANOS_PER_MILLI;
    }
}
