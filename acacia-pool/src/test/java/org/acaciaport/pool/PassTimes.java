package org.acaciaport.pool;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;

/**
 * The durations of the scheduling passes of some simulations, as processor time of their threads, so that other work on
 * the machine does not count.
 *
 * <p>Thread-safe.
 */
final class PassTimes {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double HIGH_PERCENTILE = 0.99;
    private static final int INITIAL_CAPACITY = 1_024;

    private long[] nanos = new long[INITIAL_CAPACITY];
    private int count;

    /** Returns the processor time that the current thread has used, in nanoseconds. */
    static long threadNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Adds the duration of a pass, in nanoseconds. */
    synchronized void add(long passNanos) {
        if (count == nanos.length) {
            nanos = Arrays.copyOf(nanos, 2 * count);
        }
        nanos[count++] = passNanos;
    }

    /** Returns the longest duration, in milliseconds; 0 without a pass. */
    synchronized double longestMillis() {
        return Arrays.stream(nanos, 0, count).max().orElse(0) / NANOS_PER_MILLI;
    }

    /** Returns the 99th percentile of the durations, in milliseconds; 0 without a pass. */
    synchronized double highPercentileMillis() {
        long[] sorted = Arrays.stream(nanos, 0, count).sorted().toArray();
        return count == 0 ? 0 : sorted[(int) (HIGH_PERCENTILE * (count - 1))] / NANOS_PER_MILLI;
    }
}
