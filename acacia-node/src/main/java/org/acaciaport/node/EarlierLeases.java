package org.acaciaport.node;

import java.util.Map;
import java.util.Optional;

/**
 * When the leases that earlier leaders may have granted have expired, as the log shows it. Times are on the monotonic
 * clock of this node, in nanoseconds.
 *
 * <p>Immutable.
 *
 * @param endNanos when those of all targets have expired
 * @param endNanosByTarget when those of the targets have expired whose leases ran out as the term began; the leader
 *     deletes their records before it grants them a lease
 * @param grantor the leader whose process has granted all leases that may last beyond those of leaders before it; empty
 *     if that is not known, or if it is the process of the term itself
 */
record EarlierLeases(long endNanos, Map<String, Long> endNanosByTarget, Optional<Replica.FormerLeader> grantor) {
    /** Makes a defensive copy of the map. */
    EarlierLeases {
        endNanosByTarget = Map.copyOf(endNanosByTarget);
    }

    /** Creates leases of which no process is known to have granted all. */
    EarlierLeases(long endNanos, Map<String, Long> endNanosByTarget) {
        this(endNanos, endNanosByTarget, Optional.empty());
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

    /**
     * Returns the leases that leaders before the term {@code epoch} may have granted.
     *
     * <p>The log shows former leaders by their processes, not by their terms. So a former leader is the grantor only if
     * the claim of the term followed it: between it and the term, this process may have led before, and another one may
     * have written until it was fenced.
     *
     * @param replica the records of the log, up to the fence of the term at least
     * @param self the claim of the term
     * @param followed the latest leader record before the claim of the term; null if there was none
     */
    static EarlierLeases of(Replica replica, long epoch, LeaderRecord self, LeaderRecord followed) {
        EarlierLeases leases = of(replica, epoch);
        boolean followedBySelf = followed != null
                && !followed.isOfProcessOf(self)
                && replica.leader().record().isOfProcessOf(self);
        Optional<Replica.FormerLeader> grantor = replica.formerLeader()
                .filter(former -> followedBySelf && former.record().isOfProcessOf(followed));
        return new EarlierLeases(leases.endNanos, leases.endNanosByTarget, grantor);
    }

    /** Returns these leases, but for those that would expire after {@code latestEndNanos}, which were not granted. */
    EarlierLeases endingBy(long latestEndNanos) {
        return latestEndNanos - endNanos < 0 ? new EarlierLeases(latestEndNanos, endNanosByTarget, grantor) : this;
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
