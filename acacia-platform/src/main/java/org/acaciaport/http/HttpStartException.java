package org.acaciaport.http;

/** Thrown when a server cannot start; the message names the address and the remedy. */
public final class HttpStartException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message and its cause. */
    public HttpStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
