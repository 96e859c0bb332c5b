package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;

/** A sink that keeps the keys that it is passed, and can be made to throw. Thread-safe. */
final class RecordingSink implements TopicConsumer.Sink {
    private final List<String> keys = new ArrayList<>();
    private int resets;

    /** Key of the records that cannot be applied. */
    volatile String badKey = "";

    /** How many of the next calls of {@link #caughtUp} throw. */
    volatile int catchUpsToThrow;

    private List<String> keysWhenCaughtUp = List.of();

    @Override
    public synchronized void reset() {
        keys.clear();
        resets++;
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        if (record.key().equals(badKey)) {
            throw new IllegalStateException("cannot apply " + badKey);
        }
        keys.add(record.key());
    }

    @Override
    public synchronized void caughtUp(ClockReading asOf, long nextOffset) {
        if (catchUpsToThrow > 0) {
            catchUpsToThrow--;
            throw new IllegalStateException("cannot catch up");
        }
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
