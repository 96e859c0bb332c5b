package org.acaciaport.log;

/**
 * A log that all processes share. Offsets number the records of a topic from 0, without gaps; the newest record of each
 * key is kept, others may expire. What was acknowledged is never lost, and answers are linearizable.
 *
 * <p>Safe for use by several threads. All calls block until the deadline at the latest, a reading of
 * {@link System#nanoTime}.
 */
public interface KeyedLog {
    /** Appends records. */
    AppendOutcome append(Append append, long deadline);

    /** Reads on from offset {@code from}; without records, waits for one up to {@code waitMillis} milliseconds. */
    ReadOutcome read(String topic, long from, long waitMillis, long deadline);

    /** Reads the newest record of the keys after {@code after}, which is empty for the first page. */
    NewestOutcome newest(String topic, String after, long deadline);
}
