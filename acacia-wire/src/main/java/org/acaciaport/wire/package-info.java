/**
 * Messages between the programs and their encoding.
 *
 * <p>{@link org.acaciaport.wire.Message} lists the messages, {@link org.acaciaport.wire.Codecs} encodes them and
 * {@link org.acaciaport.wire.WireClient} and {@link org.acaciaport.wire.WireServer} exchange them.
 */
package org.acaciaport.wire;
