package org.acaciaport.node;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToIntBiFunction;
import org.acaciaport.estimate.EstimatesSnapshot;
import org.acaciaport.estimate.EstimatesSnapshot.PairLine;
import org.acaciaport.estimate.EstimatesSnapshot.QueueLine;
import org.acaciaport.estimate.EstimatesSnapshot.TargetLine;
import org.acaciaport.failure.Failures;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Restores what the pool of a term has learned from the log, and produces the record that keeps it there.
 *
 * <p>Confined to the thread of the term. Without a usable record, the term starts from the prior; without a record that
 * the log takes, it goes on, and a later term starts from an older one.
 */
final class EstimatesPersistence {
    private static final Logger LOG = Logger.getLogger(EstimatesPersistence.class);

    /** Least time between two records, in milliseconds. */
    static final long INTERVAL_MILLIS = 10_000;

    private final Supplier<EstimatesSnapshot> snapshot;
    private final ToIntBiFunction<EstimatesSnapshot, ClockReading> restorer;
    private final AppendLimits limits;
    private long nextNanos;

    /** What need not be written, as the pool started from it or it has been written; empty if nothing is known. */
    private Optional<Content> known = Optional.empty();

    /** What a snapshot tells, whatever the order of its lines, which changes whenever the pool asks for estimates. */
    private record Content(Set<TargetLine> targets, List<Long> all, Set<QueueLine> queues, Set<PairLine> pairs) {
        static Content of(EstimatesSnapshot snapshot) {
            return new Content(
                    Set.copyOf(snapshot.t()), snapshot.all(), Set.copyOf(snapshot.q()), Set.copyOf(snapshot.p()));
        }
    }

    /**
     * Creates the persistence of a term that starts at {@code now}.
     *
     * @param snapshot returns what the pool has learned
     * @param restorer replaces what the pool has learned; returns the number of lines that it dropped
     * @param limits what the log takes
     */
    EstimatesPersistence(
            Supplier<EstimatesSnapshot> snapshot,
            ToIntBiFunction<EstimatesSnapshot, ClockReading> restorer,
            AppendLimits limits,
            ClockReading now) {
        this.snapshot = snapshot;
        this.restorer = restorer;
        this.limits = limits;
        nextNanos = now.nanosAfter(INTERVAL_MILLIS);
    }

    /** Lets the pool start from {@code record}, the newest one in the log, or else from the prior. */
    void restore(Optional<KeyedRecord> record, ClockReading now) {
        record.ifPresent(newest -> restore(newest, now));
        known = learned().map(Content::of);
    }

    private void restore(KeyedRecord record, ClockReading now) {
        try {
            int dropped = restorer.applyAsInt(JobRecords.decodeEstimates(record), now);
            LOG.infof("estimates: outcome=restored bytes=%s dropped=%s", record.value().length, dropped);
        } catch (IOException | RuntimeException e) {
            LOG.errorf("estimates: outcome=prior reason=%s", Failures.reasonOf(e));
        }
    }

    /** Returns the record to write with a heartbeat; none before it is due, if nothing changed, or if it cannot be. */
    List<KeyedRecord> records(ClockReading now) {
        if (now.monotonicNanos() - nextNanos < 0) {
            return List.of();
        }
        nextNanos = now.nanosAfter(INTERVAL_MILLIS);
        Optional<EstimatesSnapshot> learned = learned();
        Optional<Content> content = learned.map(Content::of);
        if (content.isEmpty() || content.equals(known)) {
            return List.of();
        }
        Optional<KeyedRecord> record = learned.flatMap(this::encode);
        if (record.isPresent()) {
            known = content;
        }
        return record.stream().toList();
    }

    /** Returns what the pool has learned; empty if that fails, which must not end the term. */
    private Optional<EstimatesSnapshot> learned() {
        try {
            return Optional.of(snapshot.get());
        } catch (RuntimeException e) {
            logLeftOut(e);
            return Optional.empty();
        }
    }

    /** Returns the record of {@code learned}; empty if there can be none, which must not end the term. */
    private Optional<KeyedRecord> encode(EstimatesSnapshot learned) {
        try {
            KeyedRecord record = JobRecords.encode(learned);
            if (record.value().length <= JobRecords.MAX_ESTIMATES_BYTES && limits.fits(record)) {
                return Optional.of(record);
            }
            LOG.warnf(
                    "estimates: outcome=left-out reason=too large bytes=%s record_bytes=%s",
                    record.sizeBytes(), limits.recordBytes());
        } catch (RuntimeException e) {
            logLeftOut(e);
        }
        return Optional.empty();
    }

    private static void logLeftOut(RuntimeException reason) {
        LOG.warnf("estimates: outcome=left-out reason=%s", Failures.reasonOf(reason));
    }
}
