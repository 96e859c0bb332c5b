package org.acaciaport.directory;

/** Whether a log record took effect when it was applied. All variants are immutable. */
public sealed interface Verdict {
    /** The record took effect. */
    record Applied() implements Verdict {}

    /**
     * The record had no effect.
     *
     * @param reason why it had none, and what to do about it where something can be done
     */
    record Void(String reason) implements Verdict {}

    /**
     * The record had no effect because the client account has used the idempotency key before.
     *
     * @param original the request for which the key was used first
     */
    record KeyUsed(RequestState original) implements Verdict {}

    /** Returns whether the record took effect. */
    default boolean applied() {
        return this instanceof Applied;
    }
}
