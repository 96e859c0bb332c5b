package org.acaciaport.node;

import java.util.function.Supplier;
import org.acaciaport.failure.Failures;

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

    /** Returns the progress of {@code read}, which has failed if it throws. */
    static ReadProgress of(Supplier<ReadProgress> read) {
        try {
            return read.get();
        } catch (RuntimeException | Error e) {
            return new Failed(Failures.reasonOf(e));
        }
    }
}
