package org.acaciaport.node;

import java.util.Map;

/**
 * When the leases that earlier leaders may have granted have expired, as the log shows it. Times are on the monotonic
 * clock of this node, in nanoseconds.
 *
 * <p>Immutable.
 *
 * @param endNanos when those of all targets have expired
 * @param endNanosByTarget when those of the targets have expired whose leases ran out as the term began; the leader
 *     deletes their records before it grants them a lease
 */
record EarlierLeases(long endNanos, Map<String, Long> endNanosByTarget) {
    /** Makes a defensive copy of the map. */
    EarlierLeases {
        endNanosByTarget = Map.copyOf(endNanosByTarget);
    }

    /**
     * Returns the leases that leaders before the term {@code epoch} may have granted.
     *
     * @param replica the records of the log, up to the fence of the term at least
     */
    static EarlierLeases of(Replica replica, long epoch) {
        long lastGrantNanos =
                replica.lastLeaderWriteNanos(epoch) + Term.MAX_UNCONFIRMED_MILLIS * Clocks.NANOS_PER_MILLI;
        return new EarlierLeases(TargetLease.latestEndNanos(lastGrantNanos), replica.leaseEndNanos());
    }

    /** Returns these leases, but for those that would expire after {@code latestEndNanos}, which were not granted. */
    EarlierLeases endingBy(long latestEndNanos) {
        return latestEndNanos - endNanos < 0 ? new EarlierLeases(latestEndNanos, endNanosByTarget) : this;
    }

    /** Returns when the leases of {@code target} have expired. */
    long endNanos(String target) {
        Long end = endNanosByTarget.get(target);
        return end == null || end - endNanos > 0 ? endNanos : end;
    }

    /** Returns whether a record of {@code target} has to be deleted before it gets a lease. */
    boolean areRunningOut(String target) {
        return endNanosByTarget.containsKey(target);
    }
}
