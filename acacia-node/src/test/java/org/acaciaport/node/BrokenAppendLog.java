package org.acaciaport.node;

import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;

/** A log whose appends can be made to throw. */
final class BrokenAppendLog implements KeyedLog {
    private final KeyedLog log;
    volatile boolean broken;

    BrokenAppendLog(KeyedLog log) {
        this.log = log;
    }

    @Override
    public AppendOutcome append(Append append, long deadline) {
        if (broken) {
            throw new IllegalArgumentException("unsupported URI");
        }
        return log.append(append, deadline);
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        return log.read(topic, from, waitMillis, deadline);
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        return log.newest(topic, after, deadline);
    }
}
