package org.acaciaport.estimate;

/** The range of durations that estimates cover. */
final class Seconds {
    /** Shortest duration that is told from others, in seconds. */
    static final double MIN = 0.001;

    /** Longest duration that is told from others, in seconds; about four months. */
    static final double MAX = 1e7;

    static final double MIN_LOG = Math.log(MIN);
    static final double MAX_LOG = Math.log(MAX);

    private Seconds() {}

    /** Returns the logarithm of {@code seconds}, limited to the range of estimates. */
    static double log(double seconds) {
        return Math.log(Math.clamp(seconds, MIN, MAX));
    }

    /** Returns {@code logSeconds} limited to the range of estimates. */
    static double clampLog(double logSeconds) {
        return Math.clamp(logSeconds, MIN_LOG, MAX_LOG);
    }

    /** Returns whether {@code seconds} is a duration: finite and above 0. */
    static boolean valid(double seconds) {
        return seconds > 0 && Double.isFinite(seconds);
    }
}
