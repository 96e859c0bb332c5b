package org.acaciaport.http;

/**
 * The response of a {@link HttpService}.
 *
 * <p>Immutable.
 *
 * @param status the HTTP status
 * @param body the object to send as JSON
 */
public record HttpReply(int status, Object body) {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;

    /** Returns a reply with status 200. */
    public static HttpReply ok(Object body) {
        return new HttpReply(OK, body);
    }

    /** Returns a reply with status 202. */
    public static HttpReply accepted(Object body) {
        return new HttpReply(ACCEPTED, body);
    }
}
