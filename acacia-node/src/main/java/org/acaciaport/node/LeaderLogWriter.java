package org.acaciaport.node;

import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * The leader's way of writing: one append at a time, each sent again until its outcome is known.
 *
 * <p>One append at a time; {@link #confirmed} may be called by any thread.
 */
final class LeaderLogWriter {
    private static final Logger LOG = Logger.getLogger(LeaderLogWriter.class);
    private static final String WRITER = "leader";
    private static final long TRY_MILLIS = 2_500;
    private static final long PAUSE_MILLIS = 50;

    private final KeyedLog log;
    private final String topic;
    private final long epoch;
    private long sequence;
    private volatile ClockReading confirmed;

    LeaderLogWriter(KeyedLog log, String topic, long epoch) {
        this.log = log;
        this.topic = topic;
        this.epoch = epoch;
    }

    /** Bars earlier terms from writing; returns false if a later one was there first or the log did not answer. */
    boolean bar() {
        ClockReading sent = Clocks.now();
        Append append = new Append(topic, List.of(), new Append.Writer(WRITER, epoch, 0));
        AppendOutcome outcome = log.append(append, Clocks.in(TRY_MILLIS));
        confirmed = sent;
        LOG.infof("lead: epoch=%s step=bar outcome=%s", epoch, outcome);
        return outcome instanceof AppendOutcome.Appended;
    }

    /** Appends {@code records}; returns false if a later term has begun. */
    boolean append(List<KeyedRecord> records) {
        Append append = new Append(topic, records, new Append.Writer(WRITER, epoch, sequence));
        while (!Thread.currentThread().isInterrupted()) {
            ClockReading sent = Clocks.now();
            switch (log.append(append, Clocks.in(TRY_MILLIS))) {
                case AppendOutcome.Appended appended -> {
                    return confirm(sent);
                }
                case AppendOutcome.OutOfSequence other -> {
                    LOG.warnf("lead: epoch=%s sequence=%s expected=%s", epoch, sequence, other.expected());
                    return other.expected() == sequence + 1 && confirm(sent);
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
            if (!Clocks.sleep(PAUSE_MILLIS)) {
                return false;
            }
        }
        return false;
    }

    private boolean confirm(ClockReading sent) {
        sequence++;
        confirmed = sent;
        return true;
    }

    /** Returns a moment at which this term was the newest for sure. */
    ClockReading confirmed() {
        return confirmed;
    }
}
