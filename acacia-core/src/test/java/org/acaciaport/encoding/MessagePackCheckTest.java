package org.acaciaport.encoding;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which bytes are complete values. */
final class MessagePackCheckTest {
    private static final int NESTING_DEPTH = 100_000;

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            bytes[i] = (byte) values[i];
        }
        return bytes;
    }

    @Test
    void completeValuesPass() throws Exception {
        for (byte[] value : List.of(
                bytes(0x07),
                bytes(0xff),
                bytes(0xc0),
                bytes(0x80),
                bytes(0x82, 0xa1, 'a', 1, 0xa1, 'b', 0x92, 2, 0xc3),
                bytes(0xd9, 2, 'a', 'b'),
                bytes(0xc5, 0, 1, 9),
                bytes(0xcb, 1, 2, 3, 4, 5, 6, 7, 8),
                bytes(0xd5, 1, 2, 3),
                bytes(0xc7, 2, 1, 2, 3),
                bytes(0xdd, 0, 0, 0, 1, 5),
                bytes(0xde, 0, 1, 5, 6))) {
            MessagePackCheck.requireComplete(value);
            byte[] truncated = Arrays.copyOf(value, value.length - 1);
            assertThrows(IOException.class, () -> MessagePackCheck.requireComplete(truncated));
        }
    }

    /** Guards against a decoder that allocates as much as a false length states. */
    @Test
    void aLengthBeyondTheEndIsFound() {
        for (int code : List.of(0xc6, 0xc9, 0xdb, 0xdd, 0xdf)) {
            for (int length : List.of(Integer.MAX_VALUE, -1, 1 << 30)) {
                byte[] value = ByteBuffer.allocate(1 + Integer.BYTES + 1)
                        .put((byte) code)
                        .putInt(length)
                        .array();
                assertThrows(IOException.class, () -> MessagePackCheck.requireComplete(value));
                byte[] inList = ByteBuffer.allocate(value.length + 1)
                        .put((byte) 0x91)
                        .put(value)
                        .array();
                assertThrows(IOException.class, () -> MessagePackCheck.requireComplete(inList));
            }
        }
        assertThrows(IOException.class, () -> MessagePackCheck.requireComplete(bytes(0xc1)));
    }

    /** Guards against a check that recurses. */
    @Test
    void nestingCostsNoStack() throws Exception {
        byte[] value = new byte[NESTING_DEPTH + 1];
        Arrays.fill(value, (byte) 0x91);
        assertThrows(IOException.class, () -> MessagePackCheck.requireComplete(value));
        value[NESTING_DEPTH] = 0;
        MessagePackCheck.requireComplete(value);
    }
}
