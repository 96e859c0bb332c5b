package org.acaciaport.encoding;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/**
 * Checks that the lengths in a MessagePack value are true.
 *
 * <p>A decoder allocates as many bytes as a length states before it reads them, so a text of a few bytes that claims to
 * be longer ends the process. Neither allocates nor recurses; the time is linear in the length of the value. Types and
 * the texts' encoding are not checked. Not thread-safe.
 */
public final class MessagePackCheck {
    private static final int BYTE_MASK = 0xff;
    private static final int SHORT_MASK = 0xffff;
    private static final long INT_MASK = 0xffff_ffffL;

    private final ByteBuffer in;

    /** Number of values that are still to come. */
    private long pending = 1;

    private MessagePackCheck(ByteBuffer in) {
        this.in = in;
    }

    /**
     * Requires that {@code bytes} begin with a complete value.
     *
     * @throws IOException if a length in it is beyond the end, or if a byte is no code of MessagePack
     */
    public static void requireComplete(byte[] bytes) throws IOException {
        try {
            new MessagePackCheck(ByteBuffer.wrap(bytes)).skipValue();
        } catch (BufferUnderflowException e) {
            throw new IOException("MessagePack value of " + bytes.length + " bytes is incomplete", e);
        }
    }

    private void skipValue() throws IOException {
        while (pending > 0) {
            pending--;
            int code = in.get() & BYTE_MASK;
            if (code <= 0x7f || code >= 0xe0) { // Small numbers.
                continue;
            }
            if (code <= 0x8f) {
                addValues(2L * (code & 0x0f));
            } else if (code <= 0x9f) {
                addValues(code & 0x0f);
            } else if (code <= 0xbf) {
                skipBytes(code & 0x1f);
            } else {
                skipLongForm(code);
            }
        }
    }

    /** Skips a value whose code is followed by its length or by bytes of a fixed number. */
    private void skipLongForm(int code) throws IOException {
        switch (code) {
            case 0xc0, 0xc2, 0xc3 -> {} // Nil, false and true.
            case 0xc4, 0xd9 -> skipBytes(in.get() & BYTE_MASK);
            case 0xc5, 0xda -> skipBytes(in.getShort() & SHORT_MASK);
            case 0xc6, 0xdb -> skipBytes(in.getInt() & INT_MASK);
            case 0xc7 -> skipBytes(1L + (in.get() & BYTE_MASK)); // Extensions, with one byte for their type.
            case 0xc8 -> skipBytes(1L + (in.getShort() & SHORT_MASK));
            case 0xc9 -> skipBytes(1L + (in.getInt() & INT_MASK));
            case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8 -> skipBytes(1L + (1L << (code - 0xd4)));
            case 0xcc, 0xd0 -> skipBytes(Byte.BYTES);
            case 0xcd, 0xd1 -> skipBytes(Short.BYTES);
            case 0xca, 0xce, 0xd2 -> skipBytes(Integer.BYTES);
            case 0xcb, 0xcf, 0xd3 -> skipBytes(Long.BYTES);
            case 0xdc -> addValues(in.getShort() & SHORT_MASK);
            case 0xdd -> addValues(in.getInt() & INT_MASK);
            case 0xde -> addValues(2L * (in.getShort() & SHORT_MASK));
            case 0xdf -> addValues(2L * (in.getInt() & INT_MASK));
            default -> throw new IOException("byte " + code + " is no code of MessagePack");
        }
    }

    private void skipBytes(long count) {
        if (count > in.remaining()) {
            throw new BufferUnderflowException();
        }
        in.position(in.position() + (int) count);
    }

    /** Expects {@code count} more values, each of which takes at least one byte. */
    private void addValues(long count) {
        pending += count;
        if (pending > in.remaining()) {
            throw new BufferUnderflowException();
        }
    }
}
