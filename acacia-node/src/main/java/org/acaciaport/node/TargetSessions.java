package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import org.acaciaport.pool.Batch;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetInfo;

/**
 * The sessions of a term with its targets, and the registrations that they need.
 *
 * <p>Not thread-safe; confined to the thread of the term. Each command is sent on a thread of its own, since that waits
 * for the target.
 */
final class TargetSessions {
    /** Low-order bits of a fencing token, which a session increments within the term; the epoch is above them. */
    private static final int FENCE_INCREMENT_BITS = 16;

    private final Map<String, TargetSession> sessions = new HashMap<>();
    private final Map<String, TargetInfo> registered = new HashMap<>();
    private final TargetCalls calls;
    private final SessionEvents events;
    private final ExecutorService executor;
    private final TermLoad load;
    private final long baseFence;
    private EarlierLeases earlierLeases;
    private OrphanDetector orphanDetector;
    private final LeaseRecords leaseRecords;

    /**
     * Creates the sessions of the term {@code epoch}.
     *
     * @param earlierLeases when the leases of earlier leaders have expired
     * @param writer writes the records of silent targets
     */
    TargetSessions(
            long epoch,
            EarlierLeases earlierLeases,
            TermWriter writer,
            TargetCalls calls,
            SessionEvents events,
            ExecutorService executor,
            TermLoad load) {
        this.baseFence = epoch << FENCE_INCREMENT_BITS;
        this.earlierLeases = earlierLeases;
        this.calls = calls;
        this.events = events;
        this.executor = executor;
        this.load = load;
        orphanDetector = new OrphanDetector(earlierLeases);
        leaseRecords = new LeaseRecords(sessions, earlierLeases, writer, Clocks.now());
    }

    /** Returns the session of a target, created on first use; null if this term has seen no registration of it. */
    private TargetSession getOrCreate(String id) {
        TargetSession session = sessions.get(id);
        TargetInfo info = registered.get(id);
        if (session == null && info != null) {
            TargetCalls.Endpoint endpoint = new TargetCalls.Endpoint(id, info.address());
            TargetLease lease =
                    new TargetLease(earlierLeases.endNanos(id), leaseRecords.mayBeInLog(id), calls.maxLeaseMillis());
            session = new TargetSession(endpoint, calls, events, baseFence, lease);
            sessions.put(id, session);
        }
        return session;
    }

    /** Adds or updates a registration; returns the earlier one, or null if there was none. */
    TargetInfo register(TargetInfo info) {
        TargetInfo previous = registered.put(info.id(), info);
        TargetSession session = getOrCreate(info.id());
        session.setEndpoint(new TargetCalls.Endpoint(info.id(), info.address()));
        session.announceIncarnation(info.incarnation());
        session.setRegistered(true);
        return previous;
    }

    /** Removes a registration. The session stays, since it may have runs; a later registration requires a report. */
    void unregister(String id) {
        registered.remove(id);
        if (sessions.containsKey(id)) {
            sessions.get(id).setRegistered(false);
        }
    }

    /** Prepares for a start command whose record is not durable yet. */
    void prepare(TargetCommand.Start start) {
        TargetSession session = getOrCreate(start.target());
        if (session != null) {
            session.prepareStart();
        }
    }

    /** Sends a start command, whose record must be durable; returns false if the address of the target is unknown. */
    boolean start(TargetCommand.Start start) {
        TargetSession session = getOrCreate(start.target());
        if (session == null) {
            return false;
        }
        dispatch(() -> session.start(start));
        return true;
    }

    /** Sends a stop command; has no effect if the address of the target is unknown. */
    void stop(TargetCommand.Stop stop) {
        TargetSession session = getOrCreate(stop.target());
        if (session != null) {
            dispatch(() -> session.stop(stop));
        }
    }

    private void dispatch(Runnable command) {
        long releasedNanos = System.nanoTime();
        executor.execute(() -> {
            load.recordDispatch(releasedNanos);
            command.run();
        });
    }

    /** Lets a target forget ended runs, whose records must be durable. */
    void acknowledge(String target, Batch.Acknowledgement acknowledgement) {
        TargetSession session = getOrCreate(target);
        if (session != null) {
            session.acknowledge(acknowledgement.incarnation(), acknowledgement.upTo());
        }
    }

    /** Polls the targets that may have runs, and returns those whose runs have ended because their leases have. */
    List<String> poll(Set<String> occupied, ClockReading now) {
        occupied.forEach(this::getOrCreate);
        sessions.forEach((id, session) -> session.setOccupied(occupied.contains(id)));
        leaseRecords.update(occupied, now);
        List<String> expired = new ArrayList<>(orphanDetector.findExpired(occupied, sessions.keySet(), now));
        for (String id : occupied) {
            if (sessions.containsKey(id) && sessions.get(id).isGone()) {
                expired.add(id);
            }
        }
        return expired;
    }

    /** Records that leases of earlier leaders have expired by {@code endNanos}, on the monotonic clock. */
    void limitEarlierLeases(long endNanos) {
        earlierLeases = earlierLeases.endingBy(endNanos);
        orphanDetector = new OrphanDetector(earlierLeases);
        sessions.values().forEach(session -> session.limitEarlierLeases(endNanos));
    }

    void close() {
        sessions.values().forEach(TargetSession::close);
    }
}
