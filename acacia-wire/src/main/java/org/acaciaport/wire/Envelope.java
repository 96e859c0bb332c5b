package org.acaciaport.wire;

/**
 * A message with the fields that the protocol needs to route and time it.
 *
 * <p>Immutable.
 *
 * @param version the protocol version, {@link #VERSION}
 * @param exchange the number that matches a reply to its query, unique on the connection
 * @param reply whether the message is a reply rather than a query
 * @param remainingMillis how long the sender of the query still waits, in milliseconds; 0 in a reply
 * @param message the message
 */
public record Envelope(int version, long exchange, boolean reply, long remainingMillis, Message message) {
    /** The protocol version that this program supports. */
    public static final int VERSION = 1;
}
