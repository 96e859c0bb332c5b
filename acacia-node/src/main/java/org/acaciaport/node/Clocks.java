package org.acaciaport.node;

import org.acaciaport.pool.ClockReading;

/** Readings of the monotonic clock and the wall clock. Thread-safe. */
final class Clocks {
    static final long NANOS_PER_MILLI = 1_000_000;

    private Clocks() {}

    static ClockReading now() {
        return new ClockReading(System.nanoTime(), System.currentTimeMillis());
    }

    /** Returns a deadline {@code millis} milliseconds from now, as a reading of the monotonic clock. */
    static long deadlineAfter(long millis) {
        return System.nanoTime() + millis * NANOS_PER_MILLI;
    }

    /** Returns the milliseconds left until {@code deadline}, negative once it has passed. */
    static long millisUntil(long deadline) {
        return (deadline - System.nanoTime()) / NANOS_PER_MILLI;
    }

    /**
     * Returns the age of {@code then} in milliseconds, by the clock that shows more. The monotonic clock does not
     * advance while the process is suspended, and the wall clock may be set back.
     */
    static long ageMillis(ClockReading then) {
        ClockReading now = now();
        return Math.max(now.millisSince(then.monotonicNanos()), now.wallClockMillis() - then.wallClockMillis());
    }

    /** Sleeps; returns false, with the interrupt status set, if the thread was interrupted. */
    static boolean sleep(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
