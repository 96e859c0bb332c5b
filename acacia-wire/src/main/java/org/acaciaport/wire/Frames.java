package org.acaciaport.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.acaciaport.encoding.MessagePackCheck;

/**
 * Reads and writes envelopes as frames: the length of the body as a four-byte big-endian integer, then the body in
 * MessagePack.
 *
 * <p>Stateless. A stream must be used by at most one reader and one writer at a time.
 */
final class Frames {
    /** Maximum length of a body, in bytes; larger than any request or response body of the callers' interface. */
    static final int MAX_BYTES = 8 << 20;

    private Frames() {}

    static void write(DataOutputStream out, Envelope envelope) throws IOException {
        byte[] body = Codecs.messagePack().writeValueAsBytes(envelope);
        if (body.length > MAX_BYTES) {
            throw new IOException("frame of " + body.length + " bytes exceeds " + MAX_BYTES + "; send less at once");
        }
        out.writeInt(body.length);
        out.write(body);
        out.flush();
    }

    static Envelope read(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length <= 0 || length > MAX_BYTES) {
            throw new IOException(
                    "frame length " + length + " is not 1 to " + MAX_BYTES + "; check that the peer runs this program");
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection was closed in the middle of a frame");
        }
        Envelope envelope = decode(body);
        if (envelope.version() != Envelope.VERSION) {
            throw new IOException("peer uses protocol version " + envelope.version() + ", not " + Envelope.VERSION
                    + "; run the same release on both");
        }
        return envelope;
    }

    /**
     * Decodes a body. The decoder throws unchecked exceptions as well for bytes that are no MessagePack, and allocates
     * what a length states, so the lengths are checked first.
     */
    private static Envelope decode(byte[] body) throws IOException {
        Envelope envelope;
        try {
            MessagePackCheck.requireComplete(body);
            envelope = Codecs.messagePack().readValue(body, Envelope.class);
        } catch (IOException | RuntimeException e) {
            throw new IOException("frame cannot be decoded; check that the peer runs this program", e);
        }
        if (envelope == null || envelope.message() == null) {
            throw new IOException("frame holds no message; check that the peer runs this program");
        }
        return envelope;
    }
}
