package org.acaciaport.log;

import java.util.List;

/** The outcome of a read of the newest record of each key. */
public sealed interface NewestOutcome {
    /**
     * A page of consecutive keys. Pages are read at different times and together are not a consistent snapshot.
     *
     * @param items the newest record of each key, in key order
     * @param more whether more keys follow
     * @param end the offset at which the topic ended when the page was read
     */
    record Page(List<Item> items, boolean more, long end) implements NewestOutcome {
        /** Makes a defensive copy of {@code items}. */
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
     * The log did not reply.
     *
     * @param reason the error that the log or the connection reported
     */
    record Unavailable(String reason) implements NewestOutcome {}
}
