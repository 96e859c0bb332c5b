package org.acaciaport.decision;

/**
 * What is known of one started member.
 *
 * <p>Immutable.
 *
 * @param status how far it has come
 * @param output its whole output once ended; empty before
 */
public record MemberState(Status status, String output) {
    /** How far a member has come. */
    public enum Status {
        /** The start has been sent. */
        STARTING,
        /** The target confirmed the start. */
        RUNNING,
        /** Ran to its end. */
        ENDED,
        /** Ran and failed. */
        FAILED,
        /** The target certainly did not start it. */
        NOT_STARTED,
        /** State saved and taken off the target. */
        CHECKPOINTED,
        /** Paused on the target without accelerators. */
        THROTTLED,
        /** Stopped on request. */
        STOPPED,
        /** Its target is gone. */
        LOST
    }

    /** Returns a state without output. */
    static MemberState of(Status status) {
        return new MemberState(status, "");
    }

    /** Returns whether the member still occupies accelerators. */
    public boolean occupiesAccelerators() {
        return status == Status.STARTING || status == Status.RUNNING;
    }
}
