package org.acaciaport.log;

import java.util.List;

/** The outcome of a read. */
public sealed interface ReadOutcome {
    /**
     * Consecutive records from the requested offset.
     *
     * @param end the offset at which the topic ended when it was read
     * @param records the records; may be empty
     */
    record Records(long end, List<KeyedRecord> records) implements ReadOutcome {
        /** Makes a defensive copy of {@code records}. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * The record at the requested offset has expired; {@link KeyedLog#newest} returns the records that are retained.
     *
     * @param first the lowest offset that can still be read
     */
    record Expired(long first) implements ReadOutcome {}

    /**
     * The log did not reply.
     *
     * @param reason the error that the log or the connection reported
     */
    record Unavailable(String reason) implements ReadOutcome {}
}
