package org.acaciaport.log;

import java.util.List;

/**
 * Records to append together, all or none.
 *
 * <p>Immutable.
 *
 * @param topic name of the topic
 * @param records the records; none to apply only the condition
 * @param condition what must hold
 */
public record Append(String topic, List<KeyedRecord> records, Condition condition) {
    /** Copies the list. */
    public Append {
        records = List.copyOf(records);
    }

    /** What must hold for an append. */
    public sealed interface Condition {}

    /** Nothing. Sent again without an answer, the records may be there twice. */
    public record Always() implements Condition {}

    /**
     * The topic ends at an offset.
     *
     * @param offset that offset
     */
    public record AtEnd(long offset) implements Condition {}

    /**
     * No later epoch of the writer was seen, and the sequence goes on. Sent again, it is applied once.
     *
     * @param name name of the writer
     * @param epoch number of its term
     * @param sequence number of the append in the term
     */
    public record Writer(String name, long epoch, long sequence) implements Condition {}
}
