/**
 * The protocol between the programs: messages, their encoding, and the client and server that exchange them over TCP.
 *
 * <p>{@link org.acaciaport.wire.Message} lists the messages, {@link org.acaciaport.wire.Codecs} encodes them, and
 * {@link org.acaciaport.wire.WireClient} and {@link org.acaciaport.wire.WireServer} send and receive them.
 */
package org.acaciaport.wire;
