package org.acaciaport.platform;

/** Thrown when a call to the platform or to a target fails. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known about the effect of the failed call. */
    public enum Kind {
        /** The call had no effect. */
        NOT_DONE,
        /** The call may or may not have had an effect. */
        UNCERTAIN,
        /** The deadline of the call has passed; neither it nor an earlier attempt of it will take effect any more. */
        EXPIRED,
        /** The call was refused because the other side has seen a higher epoch. */
        STALE_EPOCH
    }

    private final Kind kind;

    /** Creates an exception of {@code kind} whose message says what to do. */
    public PlatformException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns what is known about the effect of the failed call. */
    public Kind kind() {
        return kind;
    }
}
