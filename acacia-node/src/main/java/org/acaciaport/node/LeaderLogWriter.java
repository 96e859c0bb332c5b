package org.acaciaport.node;

import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Writes the records of one term: one append at a time, each retried until its outcome is known.
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
    private final long epoch;
    private long sequence;
    private volatile ClockReading lastConfirmed;

    LeaderLogWriter(KeyedLog log, String topic, long epoch) {
        this.log = log;
        this.topic = topic;
        this.epoch = epoch;
    }

    /**
     * Fences earlier terms; returns false if a later term has already written or the log did not confirm. The term must
     * not begin in that case.
     */
    boolean fenceEarlierTerms() {
        ClockReading sent = Clocks.now();
        Append append = new Append(topic, List.of(), new Append.Writer(WRITER, epoch, 0));
        AppendOutcome outcome = log.append(append, Clocks.deadlineAfter(ATTEMPT_TIMEOUT_MILLIS));
        lastConfirmed = sent;
        LOG.infof("lead: epoch=%s step=fence outcome=%s", epoch, outcome);
        return outcome instanceof AppendOutcome.Appended;
    }

    /**
     * Appends {@code records} as a whole, since they may hold only together: a successor that read a part of them could
     * start finished work again. Returns false if a later term has begun or the thread is interrupted.
     */
    boolean append(List<KeyedRecord> records) {
        Append append = new Append(topic, records, new Append.Writer(WRITER, epoch, sequence));
        while (!Thread.currentThread().isInterrupted()) {
            ClockReading sent = Clocks.now();
            switch (log.append(append, Clocks.deadlineAfter(ATTEMPT_TIMEOUT_MILLIS))) {
                case AppendOutcome.Appended appended -> {
                    return recordConfirmation(sent);
                }
                case AppendOutcome.OutOfSequence other -> {
                    // Expecting the next sequence number means that an earlier attempt was applied.
                    LOG.warnf("lead: epoch=%s sequence=%s expected=%s", epoch, sequence, other.expected());
                    return other.expected() == sequence + 1 && recordConfirmation(sent);
                }
                case AppendOutcome.Deposed deposed -> {
                    return false;
                }
                case AppendOutcome.NotAtEnd other -> {
                    return false;
                }
                case AppendOutcome.Refused refused ->
                    LOG.debugf("lead: sequence=%s outcome=refused reason=%s", sequence, refused.reason());
                case AppendOutcome.Unknown unknown ->
                    LOG.debugf("lead: sequence=%s outcome=unknown reason=%s", sequence, unknown.reason());
            }
            if (!Clocks.sleep(RETRY_DELAY_MILLIS)) {
                return false;
            }
        }
        return false;
    }

    private boolean recordConfirmation(ClockReading sent) {
        sequence++;
        lastConfirmed = sent;
        return true;
    }

    /**
     * Returns the send time of the last append that the log confirmed; this term was the newest then. Before the first
     * one, returns the send time of the fence whether or not the log confirmed it, or null if none was sent; use the
     * value only if {@link #fenceEarlierTerms} has returned true.
     */
    ClockReading lastConfirmed() {
        return lastConfirmed;
    }
}
