package org.acaciaport.log;

import java.util.List;

/** How a read of the newest records ended. */
public sealed interface NewestOutcome {
    /**
     * Some of the keys, in order. Pages are not a snapshot.
     *
     * @param items the newest record of each key
     * @param more whether more keys follow
     * @param end where the topic ended
     */
    record Page(List<Item> items, boolean more, long end) implements NewestOutcome {
        /** Copies the list. */
        public Page {
            items = List.copyOf(items);
        }
    }

    /**
     * The newest record of a key.
     *
     * @param record the record
     * @param offset its offset
     */
    record Item(KeyedRecord record, long offset) {}

    /**
     * There was no answer.
     *
     * @param reason what the log or the connection said
     */
    record Unavailable(String reason) implements NewestOutcome {}
}
