package org.acaciaport.log;

/** The outcome of an append. */
public sealed interface AppendOutcome {
    /**
     * The records were appended and are durable.
     *
     * @param offset offset of the first record
     */
    record Appended(long offset) implements AppendOutcome {}

    /**
     * Nothing was appended, because the topic does not end at the offset of {@link Append.AtEnd}.
     *
     * @param end the offset at which the topic ends
     */
    record NotAtEnd(long end) implements AppendOutcome {}

    /** Nothing was appended, because the log has seen a higher epoch of the writer. */
    record Deposed() implements AppendOutcome {}

    /**
     * Nothing was appended, because the sequence number of the append is not the next one.
     *
     * @param expected the next sequence number
     */
    record OutOfSequence(long expected) implements AppendOutcome {}

    /**
     * Nothing was appended, for another reason.
     *
     * @param reason the error that the log or the connection reported
     */
    record Refused(String reason) implements AppendOutcome {}

    /**
     * Nothing was appended, and the same append will never be: the log takes no such records.
     *
     * @param reason the error that the log reported
     */
    record Rejected(String reason) implements AppendOutcome {}

    /**
     * It is unknown whether the records were appended. They may still be appended several seconds later.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements AppendOutcome {}
}
