package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;

/** A sink that keeps the keys that it is passed. Thread-safe. */
final class RecordingSink implements TopicConsumer.Sink {
    private final List<String> keys = new ArrayList<>();
    private int resets;
    private List<String> keysWhenCaughtUp = List.of();

    @Override
    public synchronized void reset() {
        keys.clear();
        resets++;
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        keys.add(record.key());
    }

    @Override
    public synchronized void caughtUp(ClockReading asOf, long nextOffset) {
        keysWhenCaughtUp = List.copyOf(keys);
    }

    synchronized List<String> keys() {
        return List.copyOf(keys);
    }

    synchronized int resets() {
        return resets;
    }

    /** Returns the keys that the sink had when it last counted as complete. */
    synchronized List<String> keysWhenCaughtUp() {
        return keysWhenCaughtUp;
    }
}
