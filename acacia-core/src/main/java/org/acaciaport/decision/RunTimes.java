package org.acaciaport.decision;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * The latest observed run times of one profile.
 *
 * <p>Immutable; the array is never handed out.
 */
final class RunTimes {
    private static final int MAX_SAMPLES = 32;
    private static final int MIN_SAMPLES = 5;
    private static final int PERCENTILE = 90;

    static final RunTimes NONE = new RunTimes(new long[0], 0);

    private final long[] millis;
    private final int next;

    private RunTimes(long[] millis, int next) {
        this.millis = millis;
        this.next = next;
    }

    RunTimes plus(long runMillis) {
        long[] kept = millis.length < MAX_SAMPLES ? Arrays.copyOf(millis, millis.length + 1) : millis.clone();
        int at = millis.length < MAX_SAMPLES ? millis.length : next;
        kept[at] = runMillis;
        return new RunTimes(kept, (at + 1) % MAX_SAMPLES);
    }

    /** Returns a run time that few runs exceed, in milliseconds; empty until enough runs were seen. */
    OptionalLong highPercentileMillis() {
        if (millis.length < MIN_SAMPLES) {
            return OptionalLong.empty();
        }
        long[] sorted = millis.clone();
        Arrays.sort(sorted);
        return OptionalLong.of(sorted[(sorted.length - 1) * PERCENTILE / 100]);
    }
}
