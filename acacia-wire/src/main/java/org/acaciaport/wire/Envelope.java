package org.acaciaport.wire;

/**
 * One message on a connection.
 *
 * <p>Immutable.
 *
 * @param version version of the protocol
 * @param exchange number that ties a reply to its query, unique on the connection
 * @param reply whether this answers a query
 * @param remainingMillis time the asker still waits, in milliseconds; 0 on replies
 * @param message the message
 */
public record Envelope(int version, long exchange, boolean reply, long remainingMillis, Message message) {
    /** The version that this program speaks. */
    public static final int VERSION = 1;
}
