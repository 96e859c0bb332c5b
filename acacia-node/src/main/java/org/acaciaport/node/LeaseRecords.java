package org.acaciaport.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Keeps the {@link LeaseRecord}s of a term: one for each target that may have runs and is silent.
 *
 * <p>Confined to the thread of the term. Invariant: a target whose record is in the log, or will be, gets no lease.
 */
final class LeaseRecords {
    private static final Logger LOG = Logger.getLogger(LeaseRecords.class);

    /** How long a target is silent until its record is written, in milliseconds; most answer again sooner. */
    private static final long SILENCE_MILLIS = 1_000;

    private final Map<String, TargetSession> sessions;
    private final EarlierLeases earlier;
    private final TermWriter writer;
    private final ClockReading began;

    /** Targets whose record is in the log or will be, and is to stay. */
    private final Set<String> recorded;

    /** The last deletion in progress of the record of each target. */
    private final Map<String, KeyedRecord> deleting = new HashMap<>();

    /**
     * Creates the records of a term.
     *
     * @param sessions the sessions of the term, by target; read only
     * @param began when the term began
     */
    LeaseRecords(Map<String, TargetSession> sessions, EarlierLeases earlier, TermWriter writer, ClockReading began) {
        this.sessions = sessions;
        this.earlier = earlier;
        this.writer = writer;
        this.began = began;
        recorded = new HashSet<>(earlier.endNanosByTarget().keySet());
    }

    /** Returns whether the log may have a record of a target, so that it gets no lease. */
    boolean mayBeInLog(String target) {
        return recorded.contains(target) || deleting.containsKey(target);
    }

    /**
     * Writes the records of targets that have fallen silent, and deletes those of targets that answer or have no runs.
     *
     * @param occupied targets that may have runs
     */
    void update(Set<String> occupied, ClockReading now) {
        for (String id : occupied) {
            if (!recorded.contains(id)) {
                recordIfSilent(id, now);
            }
        }
        for (String id : Set.copyOf(recorded)) {
            TargetSession session = sessions.get(id);
            if (!occupied.contains(id) || session != null && session.hasAnswered()) {
                delete(id);
            }
        }
    }

    private void recordIfSilent(String id, ClockReading now) {
        TargetSession session = sessions.get(id);
        OptionalLong silentSince =
                session == null ? OptionalLong.of(began.monotonicNanos()) : session.silentSinceNanos();
        if (silentSince.isEmpty() || now.millisSince(silentSince.getAsLong()) < SILENCE_MILLIS) {
            return;
        }
        long endNanos = session == null ? earlier.endNanos(id) : session.suspendLease();
        long remainingMillis = Math.max(0, (endNanos - now.monotonicNanos()) / Clocks.NANOS_PER_MILLI + 1);
        LOG.infof("lease: target=%s outcome=running-out remaining_ms=%s", id, remainingMillis);
        recorded.add(id);
        writer.write(JobRecords.encode(new LeaseRecord(id, remainingMillis)), () -> {});
    }

    private void delete(String id) {
        recorded.remove(id);
        KeyedRecord deletion = KeyedRecord.tombstone(JobRecords.LEASE_PREFIX + id);
        deleting.put(id, deletion);
        writer.write(deletion, () -> {
            if (deleting.get(id) == deletion) {
                deleting.remove(id);
            }
            TargetSession session = sessions.get(id);
            if (session != null && !mayBeInLog(id)) {
                session.resumeLease();
            }
        });
    }
}
