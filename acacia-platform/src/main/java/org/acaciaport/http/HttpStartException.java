package org.acaciaport.http;

/** Thrown when an HTTP server or client cannot start. The message says why and what to do. */
public final class HttpStartException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message and its cause. */
    public HttpStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
