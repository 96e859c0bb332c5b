package org.acaciaport.node;

import java.util.OptionalLong;
import org.acaciaport.pool.ClockReading;

/**
 * What one target may have been granted as lease, on the target's own clock.
 *
 * <p>Not safe for use by several threads; its session guards it. Invariant: no lease that may have been granted, by
 * this leader or an earlier one, ends later than {@code grantedMillis} or, before the first report, than
 * {@code inheritedNanos}.
 */
final class TargetLease {
    /** Longest lease that a target grants, in milliseconds. */
    private static final long LEASE_MILLIS = 6_000;

    /** A target's clock may be this much slower than ours. */
    private static final double SLOWEST_CLOCK = 0.98;

    private static final long LAPSE_SLACK_MILLIS = 150;

    /** When leases that an earlier leader may have granted are over, on the steady clock; 0 once a report has come. */
    private long inheritedNanos;

    private boolean known;
    private long clockMillis;

    /** When {@code clockMillis} was read, on our steady clock, in nanoseconds. */
    private long clockNanos;

    private long grantedMillis;

    TargetLease(long inheritedNanos) {
        this.inheritedNanos = inheritedNanos;
    }

    /** Returns the steady reading by which leases of an earlier leader are over. */
    static long inherited(ClockReading now, long earlierLeaderMillis) {
        long lease = (long) (LEASE_MILLIS / SLOWEST_CLOCK) + LAPSE_SLACK_MILLIS;
        return now.nanosAfter(earlierLeaderMillis + lease);
    }

    /** Returns whether the target's clock is known. */
    boolean known() {
        return known;
    }

    /** Forgets everything: the target has started anew. */
    void reset() {
        known = false;
        grantedMillis = 0;
    }

    /** Takes a reading of the target's clock. */
    void clock(long millis) {
        clockMillis = millis;
        clockNanos = System.nanoTime();
        known = true;
    }

    /** Takes the clock of a report, after which no earlier leader can renew any more. */
    void reported(long millis) {
        clock(millis);
        if (inheritedNanos != 0) {
            grantedMillis = Math.max(grantedMillis, millis + LEASE_MILLIS);
            inheritedNanos = 0;
        }
    }

    /** Returns the end of the longest lease to ask for, which then may be granted; empty while the clock is unknown. */
    OptionalLong extend() {
        if (!known) {
            return OptionalLong.empty();
        }
        long until = clockMillis + (System.nanoTime() - clockNanos) / Clocks.NANOS_PER_MILLI + LEASE_MILLIS;
        grantedMillis = Math.max(grantedMillis, until);
        return OptionalLong.of(until);
    }

    /** Returns whether every lease that may have been granted is over, however slow the target's clock. */
    boolean over() {
        long now = System.nanoTime();
        if (inheritedNanos != 0) {
            return now > inheritedNanos;
        }
        if (!known) {
            return false;
        }
        double least = clockMillis + SLOWEST_CLOCK * (now - clockNanos) / Clocks.NANOS_PER_MILLI;
        return least > grantedMillis + LAPSE_SLACK_MILLIS;
    }
}
