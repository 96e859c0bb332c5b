package org.acaciaport.directory;

/** What became of one record when it was applied. All variants are immutable. */
public sealed interface Verdict {
    /** It took effect. */
    record Applied() implements Verdict {}

    /**
     * It changed nothing.
     *
     * @param reason why, and what to do
     */
    record Void(String reason) implements Verdict {}

    /**
     * The account had used the key before.
     *
     * @param original what the log says of the first use
     */
    record KeyUsed(RequestState original) implements Verdict {}

    /** Returns whether the record took effect. */
    default boolean applied() {
        return this instanceof Applied;
    }
}
