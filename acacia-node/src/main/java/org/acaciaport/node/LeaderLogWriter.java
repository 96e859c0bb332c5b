package org.acaciaport.node;

import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Writes the records of one term: one append at a time, each retried until its outcome is known, and none larger than
 * the log takes.
 *
 * <p>The epoch is the fencing token: once the log has accepted an epoch it rejects appends of lower ones. The sequence
 * number makes a retry idempotent. Calls to {@link #append} must not overlap; {@link #lastConfirmed} is
 * thread-safe.
 */
final class LeaderLogWriter {
    private static final Logger LOG = Logger.getLogger(LeaderLogWriter.class);
    private static final String WRITER = "leader";
    private static final long ATTEMPT_TIMEOUT_MILLIS = 2_500;
    private static final long RETRY_DELAY_MILLIS = 50;

    private final KeyedLog log;
    private final String topic;
    private final AppendLimits limits;
    private final long epoch;
    private long sequence;
    private volatile ClockReading lastConfirmed;

    LeaderLogWriter(KeyedLog log, String topic, AppendLimits limits, long epoch) {
        this.log = log;
        this.topic = topic;
        this.limits = limits;
        this.epoch = epoch;
    }

    /** The result of writing records. */
    sealed interface Result {
        /** All records are durable, except for optional ones that the log does not take. */
        record Durable() implements Result {}

        /** A later term has begun, or the thread is interrupted; some of the first records may be durable. */
        record Ended() implements Result {}

        /**
         * The log never takes one of the records; those before it are durable.
         *
         * @param key key of the record
         * @param reason the error that the log reported
         */
        record Rejected(String key, String reason) implements Result {}
    }

    /**
     * Fences earlier terms; returns false if a later term has already written or the log did not confirm. The term must
     * not begin in that case.
     *
     * @param claimed when the claim of the term was sent
     */
    boolean fenceEarlierTerms(ClockReading claimed) {
        Append append = new Append(topic, List.of(), new Append.Writer(WRITER, epoch, 0));
        AppendOutcome outcome = log.append(append, Clocks.deadlineAfter(ATTEMPT_TIMEOUT_MILLIS));
        lastConfirmed = claimed;
        LOG.infof("lead: epoch=%s step=fence outcome=%s", epoch, outcome);
        return outcome instanceof AppendOutcome.Appended;
    }

    /**
     * Appends {@code records} in order, in as few appends as the log allows. Their first ones must hold without the
     * others, since a successor may read only these.
     */
    Result append(List<KeyedRecord> records) {
        for (List<KeyedRecord> part : limits.split(records)) {
            Result result = appendPart(part);
            if (!(result instanceof Result.Durable)) {
                return result;
            }
        }
        return new Result.Durable();
    }

    private Result appendPart(List<KeyedRecord> records) {
        Append append = new Append(topic, records, new Append.Writer(WRITER, epoch, sequence));
        long timeoutMillis = ATTEMPT_TIMEOUT_MILLIS + LogCalls.transferMillis(append);
        // Of several attempts the first counts: it was sent before any reader can have received the records.
        ClockReading sent = Clocks.now();
        while (!Thread.currentThread().isInterrupted()) {
            switch (log.append(append, Clocks.deadlineAfter(timeoutMillis))) {
                case AppendOutcome.Appended appended -> {
                    return recordConfirmation(sent);
                }
                case AppendOutcome.OutOfSequence other -> {
                    // Expecting the next sequence number means that an earlier attempt was applied.
                    LOG.warnf("lead: epoch=%s sequence=%s expected=%s", epoch, sequence, other.expected());
                    return other.expected() == sequence + 1 ? recordConfirmation(sent) : new Result.Ended();
                }
                case AppendOutcome.Deposed deposed -> {
                    return new Result.Ended();
                }
                case AppendOutcome.NotAtEnd other -> {
                    return new Result.Ended();
                }
                case AppendOutcome.Rejected rejected -> {
                    return appendHalves(records, rejected.reason());
                }
                case AppendOutcome.Refused refused ->
                    LOG.debugf("lead: sequence=%s outcome=refused reason=%s", sequence, refused.reason());
                case AppendOutcome.Unknown unknown ->
                    LOG.debugf("lead: sequence=%s outcome=unknown reason=%s", sequence, unknown.reason());
            }
            if (!Clocks.sleep(RETRY_DELAY_MILLIS)) {
                return new Result.Ended();
            }
        }
        return new Result.Ended();
    }

    /**
     * Finds the record that the log does not take, and appends the ones before it; also those after it if it is
     * optional.
     */
    private Result appendHalves(List<KeyedRecord> records, String reason) {
        if (records.size() == 1 && JobRecords.isOptional(records.get(0).key())) {
            LOG.warnf(
                    "lead: epoch=%s key=%s outcome=left-out reason=%s",
                    epoch, records.get(0).key(), reason);
            return new Result.Durable();
        }
        if (records.size() <= 1) {
            return new Result.Rejected(records.isEmpty() ? "" : records.get(0).key(), reason);
        }
        LOG.warnf("lead: epoch=%s records=%s outcome=rejected reason=%s", epoch, records.size(), reason);
        int half = records.size() / 2;
        Result first = appendPart(records.subList(0, half));
        return first instanceof Result.Durable ? appendPart(records.subList(half, records.size())) : first;
    }

    private Result recordConfirmation(ClockReading sent) {
        sequence++;
        lastConfirmed = sent;
        return new Result.Durable();
    }

    /**
     * Returns when the last append that the log confirmed was first sent, or the claim before the first one; this term
     * was the newest then. Null before {@link #fenceEarlierTerms}; use the value only if that has returned true.
     */
    ClockReading lastConfirmed() {
        return lastConfirmed;
    }
}
