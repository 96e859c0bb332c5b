package org.acaciaport.node;

import java.util.Optional;
import java.util.function.LongConsumer;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireException;
import org.jboss.logging.Logger;

/**
 * Finds out whether the process of the former leader is over, since its node runs another one. Then it has granted no
 * lease since that one started, and work on targets that were lost with it need not wait for the leases that it might
 * have granted otherwise.
 *
 * <p>Confined to one thread. Ends when that is interrupted.
 */
final class FormerLeaderProbe {
    private static final Logger LOG = Logger.getLogger(FormerLeaderProbe.class);

    /** Pause between two queries, in milliseconds. */
    private static final long INTERVAL_MILLIS = 200;

    /** Timeout of a query, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 400;

    private final Replica.FormerLeader former;
    private final Replica replica;
    private final Query query;
    private final LongConsumer leasesEnd;

    /** Sends a message to the node at an address. */
    interface Query {
        Message ask(String address, Message query, long timeoutMillis) throws WireException;
    }

    /**
     * Creates a probe.
     *
     * @param replica knows the addresses of the nodes
     * @param leasesEnd called when the process is over, with when all leases of leaders up to it have expired, on the
     *     monotonic clock, in nanoseconds
     */
    FormerLeaderProbe(Replica.FormerLeader former, Replica replica, Query query, LongConsumer leasesEnd) {
        this.former = former;
        this.replica = replica;
        this.query = query;
        this.leasesEnd = leasesEnd;
    }

    /** Asks until the process is known to be over, or {@code deadline}, from which that would change nothing. */
    void run(long deadline) {
        while (Clocks.millisUntil(deadline) > 0) {
            Optional<Long> end = findEnd();
            if (end.isPresent()) {
                LOG.infof(
                        "lead: former=%s outcome=over remaining_ms=%s",
                        former.record().node(), Clocks.millisUntil(end.get()));
                leasesEnd.accept(end.get());
                return;
            }
            if (!Clocks.sleep(INTERVAL_MILLIS)) {
                return;
            }
        }
    }

    /** Returns when all leases of leaders up to the former one have expired, if its process is known to be over. */
    private Optional<Long> findEnd() {
        for (NodeRecord node : replica.nodes()) {
            if (node.name().equals(former.record().node())) {
                return findEnd(node.address());
            }
        }
        return Optional.empty();
    }

    private Optional<Long> findEnd(String address) {
        try {
            Message reply = query.ask(address, new Message.Identify(), TIMEOUT_MILLIS);
            long receivedNanos = System.nanoTime();
            if (!(reply instanceof Message.Identity identity) || !isSuccessor(identity)) {
                return Optional.empty();
            }
            long startedNanos = receivedNanos - identity.uptimeMillis() * Clocks.NANOS_PER_MILLI;
            return Optional.of(TargetLease.latestEndNanos(later(startedNanos, earlierAuthorityEndNanos())));
        } catch (WireException e) {
            return Optional.empty();
        }
    }

    /** Returns whether {@code identity} is that of a later process of the former leader's node. */
    private boolean isSuccessor(Message.Identity identity) {
        return identity.node().equals(former.record().node())
                && identity.startedMillis() != former.record().startedMillis()
                && identity.uptimeMillis() >= 0;
    }

    /** Returns until when leaders before the former one may have granted leases. */
    private long earlierAuthorityEndNanos() {
        return former.sinceNanos() + Term.MAX_UNCONFIRMED_MILLIS * Clocks.NANOS_PER_MILLI;
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }
}
