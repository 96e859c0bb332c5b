package org.acaciaport.estimate;

import java.util.List;

/**
 * What is learned of durations and speeds, for the log.
 *
 * <p>All numbers are fixed-point, so that MessagePack encodes most in three bytes, and names of fields are short. Lists
 * are in order of use, the most recent first. Encoded as maps by field name, a snapshot from {@link
 * Estimates#snapshot()} has at most 64 KiB; lines that were used longest ago are left out beyond that.
 *
 * @param version version of this form, {@value #VERSION}
 * @param t targets
 * @param all regression over all queues; see {@link PairLine#m()}
 * @param q queues
 * @param p pairs of account and queue
 */
public record EstimatesSnapshot(long version, List<TargetLine> t, List<Long> all, List<QueueLine> q, List<PairLine> p) {
    /** Version of the form that is written and understood. */
    public static final long VERSION = 1;

    /**
     * The speed of a target.
     *
     * @param n name
     * @param i incarnation
     * @param s log speed, in thousandths
     * @param d standard deviation of the log speed, in ten-thousandths
     */
    public record TargetLine(String n, long i, long s, long d) {}

    /**
     * The regression of a queue.
     *
     * @param q queue
     * @param m moments; see {@link PairLine#m()}
     */
    public record QueueLine(String q, List<Long> m) {}

    /**
     * The regression of an account in a queue.
     *
     * @param q queue
     * @param a account
     * @param m total weight in hundredths; in thousandths, means and standard deviations of log declared duration and
     *     log duration (mean, mean, deviation, deviation) and their correlation
     */
    public record PairLine(String q, String a, List<Long> m) {}
}
