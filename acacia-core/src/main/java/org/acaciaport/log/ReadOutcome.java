package org.acaciaport.log;

import java.util.List;

/** How a read ended. */
public sealed interface ReadOutcome {
    /**
     * Records from the offset asked for, without gaps.
     *
     * @param end where the topic ended
     * @param records the records, perhaps none
     */
    record Records(long end, List<KeyedRecord> records) implements ReadOutcome {
        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * The records asked for are no longer kept; {@link KeyedLog#newest} has what is left of them.
     *
     * @param first first offset that is kept
     */
    record Expired(long first) implements ReadOutcome {}

    /**
     * There was no answer.
     *
     * @param reason what the log or the connection said
     */
    record Unavailable(String reason) implements ReadOutcome {}
}
