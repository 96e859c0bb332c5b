package org.acaciaport.node;

import org.acaciaport.failure.Failures;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;

/**
 * A log whose calls never throw: a read that ends in an unchecked exception counts as unavailable, an append as one of
 * unknown outcome, since the exception may have been thrown after the request was sent.
 *
 * <p>Thread-safe.
 */
final class GuardedLog implements KeyedLog {
    private final KeyedLog log;

    /** Creates a log whose calls are made on {@code log}. */
    GuardedLog(KeyedLog log) {
        this.log = log;
    }

    @Override
    public AppendOutcome append(Append append, long deadline) {
        try {
            return log.append(append, deadline);
        } catch (RuntimeException e) {
            return new AppendOutcome.Unknown(Failures.reasonOf(e));
        }
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        try {
            return log.read(topic, from, waitMillis, deadline);
        } catch (RuntimeException e) {
            return new ReadOutcome.Unavailable(Failures.reasonOf(e));
        }
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        try {
            return log.newest(topic, after, deadline);
        } catch (RuntimeException e) {
            return new NewestOutcome.Unavailable(Failures.reasonOf(e));
        }
    }
}
