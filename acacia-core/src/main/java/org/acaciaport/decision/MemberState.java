package org.acaciaport.decision;

/**
 * The last known state of a member whose start has been sent.
 *
 * <p>Immutable.
 *
 * @param status its position in the life cycle
 * @param output its complete output once it has ended or failed; empty before
 */
public record MemberState(Status status, String output) {
    /** A position in the life cycle of a member. */
    public enum Status {
        /** The start has been sent but not yet confirmed. */
        STARTING,
        /** The target confirmed the start. */
        RUNNING,
        /** The member ran to its end. */
        ENDED,
        /** The member ran and failed. */
        FAILED,
        /** The target did not start the member and will not start it later. */
        NOT_STARTED,
        /** The target saved the member's state and ended it. */
        CHECKPOINTED,
        /** The member is paused on the target and occupies no accelerators. */
        THROTTLED,
        /** The target stopped the member on request. */
        STOPPED,
        /** The target's lease expired or the target stopped answering, so the member no longer runs. */
        LOST
    }

    /** Returns a state with {@code status} and no output. */
    static MemberState of(Status status) {
        return new MemberState(status, "");
    }

    /** Returns whether the member may still occupy accelerators. */
    public boolean occupiesAccelerators() {
        return status == Status.STARTING || status == Status.RUNNING;
    }
}
