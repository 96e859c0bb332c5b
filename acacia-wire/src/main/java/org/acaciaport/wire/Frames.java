package org.acaciaport.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * Reads and writes envelopes, each behind its length in four bytes.
 *
 * <p>Stateless and safe for use by several threads, but a stream must have one reader and one writer at a time.
 */
final class Frames {
    /** Longest frame, in bytes; larger than the largest request body and answer allowed. */
    static final int MAX_BYTES = 8 << 20;

    private Frames() {}

    static void write(DataOutputStream out, Envelope envelope) throws IOException {
        byte[] body = Codecs.messagePack().writeValueAsBytes(envelope);
        if (body.length > MAX_BYTES) {
            throw new IOException("frame of " + body.length + " bytes is over " + MAX_BYTES + "; send less at once");
        }
        out.writeInt(body.length);
        out.write(body);
        out.flush();
    }

    static Envelope read(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > MAX_BYTES) {
            throw new IOException(
                    "frame length " + length + " is not 1 to " + MAX_BYTES + "; check the peer's program");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed within a frame");
        }
        Envelope envelope = Codecs.messagePack().readValue(body, Envelope.class);
        if (envelope.version() != Envelope.VERSION) {
            throw new IOException("peer speaks version " + envelope.version() + ", not " + Envelope.VERSION
                    + "; run the same release on both");
        }
        return envelope;
    }
}
