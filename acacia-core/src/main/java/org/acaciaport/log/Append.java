package org.acaciaport.log;

import java.util.List;

/**
 * A request to append records to a topic atomically.
 *
 * <p>Immutable.
 *
 * @param topic name of the topic
 * @param records the records, in order; may be empty, to check only the condition
 * @param condition the condition under which the records are appended
 */
public record Append(String topic, List<KeyedRecord> records, Condition condition) {
    /** Makes a defensive copy of {@code records}. */
    public Append {
        records = List.copyOf(records);
    }

    /** A condition for an append; the log checks it and appends in one atomic step. */
    public sealed interface Condition {}

    /** Always holds. If the append is retried after a lost reply, the records may be on the log twice. */
    public record Always() implements Condition {}

    /**
     * Holds if the topic ends at an offset.
     *
     * @param offset the offset at which the next record is written
     */
    public record AtEnd(long offset) implements Condition {}

    /**
     * Holds if the log has seen no higher epoch of the writer and {@code sequence} is the next number in this epoch.
     * Idempotent: if the append is retried, the records are appended once. The epoch is a fencing token.
     *
     * @param name name of the writer
     * @param epoch number of the writer's term
     * @param sequence number of the append within the term
     */
    public record Writer(String name, long epoch, long sequence) implements Condition {}
}
