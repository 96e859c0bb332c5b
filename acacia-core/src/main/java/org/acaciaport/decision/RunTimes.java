package org.acaciaport.decision;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * The most recent run times of one profile, for an estimate of how long its next run takes.
 *
 * <p>Immutable; the array is never exposed.
 */
final class RunTimes {
    private static final int MAX_SAMPLES = 32;
    private static final int MIN_SAMPLES = 5;
    private static final int PERCENTILE = 90;

    static final RunTimes NONE = new RunTimes(new long[0], 0);

    /** The samples; a ring buffer once there are {@link #MAX_SAMPLES}. */
    private final long[] millis;

    /** Index of the sample to overwrite next. */
    private final int next;

    private RunTimes(long[] millis, int next) {
        this.millis = millis;
        this.next = next;
    }

    /** Returns these run times with one more, which replaces the oldest once there are {@link #MAX_SAMPLES}. */
    RunTimes plus(long runMillis) {
        long[] samples = millis.length < MAX_SAMPLES ? Arrays.copyOf(millis, millis.length + 1) : millis.clone();
        int at = millis.length < MAX_SAMPLES ? millis.length : next;
        samples[at] = runMillis;
        return new RunTimes(samples, (at + 1) % MAX_SAMPLES);
    }

    /** Returns the 90th percentile of the run times, in milliseconds; empty if there are too few for an estimate. */
    OptionalLong highPercentileMillis() {
        if (millis.length < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        return OptionalLong.of(sorted[(sorted.length - 1) * PERCENTILE / 100]);
    }
}
