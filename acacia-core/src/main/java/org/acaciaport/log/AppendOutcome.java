package org.acaciaport.log;

/** How an append ended. */
public sealed interface AppendOutcome {
    /**
     * The records are durable.
     *
     * @param offset offset of the first one
     */
    record Appended(long offset) implements AppendOutcome {}

    /**
     * Nothing was appended, since the topic ends elsewhere.
     *
     * @param end where it ends
     */
    record NotAtEnd(long end) implements AppendOutcome {}

    /** Nothing was appended, since a later epoch of the writer was seen. */
    record Deposed() implements AppendOutcome {}

    /**
     * Nothing was appended, since another sequence number is due.
     *
     * @param expected that number
     */
    record OutOfSequence(long expected) implements AppendOutcome {}

    /**
     * Nothing was appended.
     *
     * @param reason what the log or the connection said
     */
    record Refused(String reason) implements AppendOutcome {}

    /**
     * The records may be there, or may come to be there seconds later.
     *
     * @param reason why that is not known
     */
    record Unknown(String reason) implements AppendOutcome {}
}
