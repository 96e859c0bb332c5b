package org.acaciaport.log;

/**
 * A client of a log that all processes share. The log has topics; the records of a topic are numbered from 0 without
 * gaps. The log is compacted by key: it retains the newest record of each key, while older ones may expire.
 * Acknowledged records are never lost, and operations are linearizable.
 *
 * <p>Thread-safe. All methods block, but not beyond {@code deadline}, which is a reading of {@link System#nanoTime}.
 */
public interface KeyedLog {
    /** Appends the records of {@code append} if its condition holds. */
    AppendOutcome append(Append append, long deadline);

    /**
     * Reads records from offset {@code from}. If there are none yet, waits up to {@code waitMillis} milliseconds for
     * one.
     */
    ReadOutcome read(String topic, long from, long waitMillis, long deadline);

    /**
     * Reads one page of keys, in order, with the newest record of each. The page starts with the first key greater than
     * {@code after}, which is empty for the first page.
     */
    NewestOutcome newest(String topic, String after, long deadline);
}
