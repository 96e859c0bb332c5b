package org.acaciaport.wire;

/** Thrown when an exchange with another program does not succeed. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What went wrong, as far as the caller has to tell cases apart. */
    public enum Kind {
        /** The query was certainly not received. */
        NOT_SENT,
        /** The query may have been received. */
        NO_REPLY
    }

    private final Kind kind;

    /** Creates an exception of {@code kind} whose message names the remedy. */
    public WireException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns what went wrong. */
    public Kind kind() {
        return kind;
    }
}
