package org.acaciaport.decision;

import org.acaciaport.config.Treatment;

/**
 * Running work being taken off its targets.
 *
 * <p>Immutable.
 *
 * @param cause why
 * @param treatment treatment now under way
 * @param deadline when the next treatment is tried, in milliseconds
 * @param reason one sentence for logs and answers
 */
public record Revocation(Cause cause, Treatment treatment, long deadline, String reason) {
    /** Why running work is taken off. */
    public enum Cause {
        /** An account claims its guarantee, or a large job its turn. */
        RECLAIM,
        /** The target or the data centre goes out of service. */
        OUT_OF_SERVICE,
        /** The caller cancelled. */
        CANCEL,
        /** The run limit has passed. */
        RUN_LIMIT,
        /** Another member failed. */
        MEMBER_FAILED,
        /** Another member's target refused its start. */
        MEMBER_REFUSED,
        /** Another member's target is gone. */
        MEMBER_LOST
    }
}
