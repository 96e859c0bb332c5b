package org.acaciaport.node;

import org.acaciaport.pool.ClockReading;

/** Reads both clocks of the process. Safe for use by several threads. */
final class Clocks {
    static final long NANOS_PER_MILLI = 1_000_000;

    private Clocks() {}

    static ClockReading now() {
        return new ClockReading(System.nanoTime(), System.currentTimeMillis());
    }

    /** Returns a deadline {@code millis} milliseconds from now, as a reading of the steady clock. */
    static long in(long millis) {
        return System.nanoTime() + millis * NANOS_PER_MILLI;
    }

    static long millisUntil(long deadline) {
        return (deadline - System.nanoTime()) / NANOS_PER_MILLI;
    }

    /**
     * Returns the age of {@code then} in milliseconds, by the clock that shows more: the steady clock does not count
     * the time in which the process was suspended, and the time of day may be set back.
     */
    static long age(ClockReading then) {
        ClockReading now = now();
        return Math.max(now.millisSince(then.monotonicNanos()), now.wallClockMillis() - then.wallClockMillis());
    }

    /** Sleeps; returns false if the thread was interrupted, which stays noted. */
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
