package org.acaciaport.node;

/** What one read of a {@link TopicConsumer} achieved. Immutable. */
sealed interface ReadProgress {
    /** The sink has all records that were in the topic when the read began. */
    record Current() implements ReadProgress {}

    /** The log answered, and more records were in the topic. */
    record Behind() implements ReadProgress {}

    /**
     * There was no usable answer.
     *
     * @param reason what was wrong, in a few words
     */
    record Failed(String reason) implements ReadProgress {}
}
