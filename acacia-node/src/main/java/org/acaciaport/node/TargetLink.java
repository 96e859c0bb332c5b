package org.acaciaport.node;

import java.util.OptionalLong;

/**
 * What a session knows of its target: its address and incarnation, its clock and lease, and the fencing token for the
 * next command.
 *
 * <p>Thread-safe. The parts of a session hold its lock over several calls, and their own state is guarded by it.
 */
final class TargetLink {
    private final String id;
    private final long baseFence;
    private final TargetLease lease;
    private TargetCalls.Endpoint endpoint;
    private long fenceIncrements;

    /** Confirmed incarnation of the target; 0 until a report confirms it. */
    private long incarnation;

    private boolean closed;

    TargetLink(TargetCalls.Endpoint endpoint, long baseFence, TargetLease lease) {
        this.id = endpoint.id();
        this.endpoint = endpoint;
        this.baseFence = baseFence;
        this.lease = lease;
    }

    String id() {
        return id;
    }

    synchronized TargetCalls.Endpoint endpoint() {
        return endpoint;
    }

    synchronized void setEndpoint(TargetCalls.Endpoint changed) {
        endpoint = changed;
    }

    synchronized long fence() {
        return baseFence + fenceIncrements;
    }

    /** Makes the fencing token higher than {@code fence}, so that the target rejects delayed commands with it. */
    synchronized void raiseFenceAbove(long fence) {
        if (fence() == fence) {
            fenceIncrements++;
        }
    }

    synchronized long incarnation() {
        return incarnation;
    }

    /** Records the incarnation that a report confirms; returns whether it is another one than before. */
    synchronized boolean confirmIncarnation(long confirmed) {
        if (confirmed == incarnation) {
            return false;
        }
        incarnation = confirmed;
        lease.reset();
        return true;
    }

    /** Handles a registration; another incarnation needs a report to confirm it. */
    synchronized void announceIncarnation(long announced) {
        if (announced != incarnation && incarnation != 0) {
            fenceIncrements++;
            incarnation = 0;
        }
    }

    synchronized boolean isClosed() {
        return closed;
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }

    synchronized void recordClock(long millis) {
        lease.recordClock(millis);
    }

    synchronized void recordReport(long clockMillis) {
        lease.recordReport(clockMillis);
    }

    synchronized boolean isClockKnown() {
        return lease.isClockKnown();
    }

    /** Returns the end of the lease to request next, and counts it as granted; empty if none may be granted now. */
    synchronized OptionalLong nextLeaseEndMillis() {
        return lease.nextLeaseEndMillis();
    }

    /** Grants no lease until {@link #resumeLease}; returns when all have expired, on the monotonic clock. */
    synchronized long suspendLease() {
        return lease.suspend();
    }

    synchronized boolean isLeaseSuspended() {
        return lease.isSuspended();
    }

    /** Lets leases be granted again. */
    synchronized void resumeLease() {
        lease.resume();
    }

    /** Records that leases of earlier leaders have expired by {@code endNanos}, on the monotonic clock. */
    synchronized void limitEarlierLeases(long endNanos) {
        lease.limitEarlierLeases(endNanos);
    }

    synchronized boolean isLeaseExpired() {
        return lease.isExpired();
    }
}
