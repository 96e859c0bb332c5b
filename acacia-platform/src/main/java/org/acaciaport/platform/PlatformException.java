package org.acaciaport.platform;

/** Thrown when the platform or a target does not do what was asked. */
public final class PlatformException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known of the effect. */
    public enum Kind {
        /** Certainly nothing happened. */
        NOT_DONE,
        /** It may have happened. */
        UNCERTAIN,
        /** The deadline had passed: neither this call nor an earlier copy of it takes effect any more. */
        EXPIRED,
        /** The other side refused because a later epoch rules. */
        STALE_EPOCH
    }

    private final Kind kind;

    /** Creates an exception of {@code kind} whose message names the remedy. */
    public PlatformException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns what is known of the effect. */
    public Kind kind() {
        return kind;
    }
}
