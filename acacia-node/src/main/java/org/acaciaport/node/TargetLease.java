package org.acaciaport.node;

import java.util.OptionalLong;

/**
 * The latest lease that one target may hold, on the target's own clock.
 *
 * <p>Not thread-safe; guarded by the lock of its session. Invariant: no lease that this leader or an earlier one may
 * have granted ends later than {@code grantedEndMillis} or, before the first report, than {@code
 * earlierLeasesEndNanos}.
 */
final class TargetLease {
    /** Length of the leases that are requested, in milliseconds. */
    private static final long LEASE_MILLIS = 6_000;

    /** Lower bound of the rate of a target's clock relative to this node's. */
    private static final double MIN_CLOCK_RATE = 0.98;

    /** Margin added to the end of a lease before it counts as expired, in milliseconds. */
    private static final long EXPIRY_MARGIN_MILLIS = 150;

    private final long maxMillis;

    /** When leases of earlier leaders have expired, on this node's monotonic clock; 0 after the first report. */
    private long earlierLeasesEndNanos;

    /** Whether no lease may be granted. */
    private boolean suspended;

    private boolean clockKnown;

    /** Last reading of the target's clock, in milliseconds. */
    private long clockMillis;

    /** When {@code clockMillis} was received, on this node's monotonic clock, in nanoseconds. */
    private long clockNanos;

    /** Latest end of a lease that may have been granted, on the target's clock, in milliseconds. */
    private long grantedEndMillis;

    /**
     * Creates a lease of which nothing is known but those of earlier leaders.
     *
     * @param earlierLeasesEndNanos when those have expired, on this node's monotonic clock
     * @param suspended whether no lease may be granted
     * @param maxMillis longest lease that the target grants, in milliseconds
     */
    TargetLease(long earlierLeasesEndNanos, boolean suspended, long maxMillis) {
        this.earlierLeasesEndNanos = earlierLeasesEndNanos;
        this.suspended = suspended;
        this.maxMillis = maxMillis;
    }

    /** Records that leases of earlier leaders have expired by {@code endNanos}, on this node's monotonic clock. */
    void limitEarlierLeases(long endNanos) {
        if (earlierLeasesEndNanos != 0 && endNanos - earlierLeasesEndNanos < 0) {
            earlierLeasesEndNanos = endNanos;
        }
    }

    /** Returns when a lease that was granted at {@code grantedNanos} has expired at the latest, on the same clock. */
    static long latestEndNanos(long grantedNanos) {
        long lease = (long) (LEASE_MILLIS / MIN_CLOCK_RATE) + EXPIRY_MARGIN_MILLIS;
        return grantedNanos + lease * Clocks.NANOS_PER_MILLI;
    }

    /** Grants no lease until {@link #resume}; returns when all have expired, on this node's monotonic clock. */
    long suspend() {
        suspended = true;
        if (earlierLeasesEndNanos != 0) {
            return earlierLeasesEndNanos;
        }
        if (!clockKnown) {
            return latestEndNanos(System.nanoTime());
        }
        double millis = (grantedEndMillis + EXPIRY_MARGIN_MILLIS - clockMillis) / MIN_CLOCK_RATE;
        return clockNanos + (long) Math.ceil(millis * Clocks.NANOS_PER_MILLI);
    }

    /** Returns whether no lease may be granted. */
    boolean isSuspended() {
        return suspended;
    }

    /** Lets leases be granted again. */
    void resume() {
        suspended = false;
    }

    /** Returns whether the target's clock is known. */
    boolean isClockKnown() {
        return clockKnown;
    }

    /** Records a reading of the target's clock by a later report of the same incarnation. */
    void recordClock(long millis) {
        clockMillis = millis;
        clockNanos = System.nanoTime();
        clockKnown = true;
    }

    /**
     * Records the clock of an incarnation from its first report. The report was requested with a higher fencing token
     * than any earlier lease, so no more of those are granted. One that was requested on the clock of a former
     * incarnation may have been granted by this one, for as long as the target grants any.
     */
    void recordRestart(long millis) {
        recordClock(millis);
        grantedEndMillis = millis + maxMillis;
        earlierLeasesEndNanos = 0;
    }

    /**
     * Returns the end of the lease to request next, and counts it as granted; empty while leases are suspended or the
     * clock is unknown.
     */
    OptionalLong nextLeaseEndMillis() {
        if (suspended || !clockKnown) {
            return OptionalLong.empty();
        }
        long endMillis = clockMillis + (System.nanoTime() - clockNanos) / Clocks.NANOS_PER_MILLI + LEASE_MILLIS;
        grantedEndMillis = Math.max(grantedEndMillis, endMillis);
        return OptionalLong.of(endMillis);
    }

    /** Returns whether every lease that may have been granted has expired, even if the target's clock is slow. */
    boolean isExpired() {
        long now = System.nanoTime();
        if (earlierLeasesEndNanos != 0) {
            return now > earlierLeasesEndNanos;
        }
        if (!clockKnown) {
            return false;
        }
        double earliestMillis = clockMillis + MIN_CLOCK_RATE * (now - clockNanos) / Clocks.NANOS_PER_MILLI;
        return earliestMillis > grantedEndMillis + EXPIRY_MARGIN_MILLIS;
    }
}
