package org.acaciaport.decision;

import org.acaciaport.config.Treatment;

/**
 * A revocation under way, which ends running work or pauses it to free its accelerators.
 *
 * <p>Immutable.
 *
 * @param cause why the work is revoked; decides what becomes of the request afterwards
 * @param treatment the treatment under way
 * @param deadline when the treatment times out and the next one is tried, in milliseconds
 * @param reason explanation for logs and answers
 */
public record Revocation(Cause cause, Treatment treatment, long deadline, String reason) {
    /** Why running work is revoked. */
    public enum Cause {
        /** Its accelerators are claimed by their owner or were set aside for a large job. */
        RECLAIM,
        /** Its target or the data centre goes out of service. */
        OUT_OF_SERVICE,
        /** The caller cancelled the request. */
        CANCEL,
        /** The run limit has passed. */
        RUN_LIMIT,
        /** Another member of the gang failed. */
        MEMBER_FAILED,
        /** The target of another member refused to start it. */
        MEMBER_REFUSED,
        /** Another member of the gang was lost or ended by a treatment. */
        MEMBER_LOST
    }
}
