package org.acaciaport.node;

import java.util.OptionalLong;
import org.jboss.logging.Logger;

/**
 * What a session knows of its target: its address and incarnation, its clock and lease, and the fencing token for the
 * next command.
 *
 * <p>Thread-safe. The parts of a session hold its lock over several calls, and their own state is guarded by it.
 */
final class TargetLink {
    private static final Logger LOG = Logger.getLogger(TargetLink.class);

    private final String id;
    private final long baseFence;
    private final TargetLease lease;
    private TargetCalls.Endpoint endpoint;
    private long fenceIncrements;

    /** The incarnation that a report has confirmed last; 0 before the first. */
    private long incarnation;

    /** Whether the target has not restarted since, as far as known. */
    private boolean confirmed;

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

    /** Returns the confirmed incarnation of the target; 0 until a report confirms it. */
    synchronized long incarnation() {
        return confirmed ? incarnation : 0;
    }

    /** What a report confirms of the incarnation of the target. */
    enum Confirmation {
        /** The target has not restarted. */
        SAME,
        /** The target has restarted, and rejects what was sent to it before. */
        RESTARTED,
        /** The target has restarted, and may still carry out what was sent to it before. */
        UNFENCED
    }

    /**
     * Handles the incarnation that a report shows. A target has seen no fencing token after a restart, so only a report
     * that was requested with a higher one than each earlier command confirms an incarnation.
     *
     * @param fence fencing token that the report was requested with
     * @param clockMillis reading of the target's clock, which differs between incarnations
     */
    synchronized Confirmation confirmIncarnation(long reported, long fence, long clockMillis) {
        announceIncarnation(reported);
        if (!confirmed && fence < fence()) {
            logIncarnation(reported, fence, "unfenced");
            return Confirmation.UNFENCED;
        }
        confirmed = true;
        if (reported == incarnation) {
            lease.recordClock(clockMillis);
            return Confirmation.SAME;
        }
        if (incarnation != 0) {
            logIncarnation(reported, fence, "restarted");
        }
        incarnation = reported;
        lease.recordRestart(clockMillis);
        return Confirmation.RESTARTED;
    }

    private void logIncarnation(long reported, long fence, String outcome) {
        LOG.infof(
                "target: target=%s outcome=%s incarnation=%s former=%s fence=%s required=%s",
                id, outcome, reported, incarnation, fence, fence());
    }

    /** Handles a registration or a report; another incarnation needs a report to confirm it. */
    synchronized void announceIncarnation(long announced) {
        if (confirmed && announced != incarnation) {
            fenceIncrements++;
            confirmed = false;
        }
    }

    synchronized boolean isClosed() {
        return closed;
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }

    synchronized boolean isClockKnown() {
        return lease.isClockKnown();
    }

    /**
     * Returns the end of the lease to request next, and counts it as granted; empty if none may be granted now. So it
     * is while the incarnation is not confirmed, as each has a clock of its own.
     */
    synchronized OptionalLong nextLeaseEndMillis() {
        return confirmed ? lease.nextLeaseEndMillis() : OptionalLong.empty();
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
