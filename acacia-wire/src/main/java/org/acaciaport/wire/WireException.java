package org.acaciaport.wire;

/** Thrown when a query to another program gets no reply. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether the query may have taken effect. */
    public enum Kind {
        /** The query was not sent; repeating it is safe. */
        NOT_SENT,
        /** The query may have been received and carried out; no reply arrived. */
        NO_REPLY
    }

    private final Kind kind;

    /** Creates an exception; {@code message} says what failed and what to do about it. */
    public WireException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns whether the query may have taken effect. */
    public Kind kind() {
        return kind;
    }
}
