package org.acaciaport.log;

import java.nio.charset.StandardCharsets;

/**
 * A record of a {@link KeyedLog}.
 *
 * <p>The value is not copied; callers must not modify it.
 *
 * @param key compaction key; a later record with the same key supersedes this one
 * @param value the content; empty in a tombstone, which deletes the key
 */
public record KeyedRecord(String key, byte[] value) {
    private static final byte[] NO_VALUE = {};

    /** Returns the size of the record as the log counts it, in bytes: the key with its length, and the value. */
    public long sizeBytes() {
        return 1L + key.getBytes(StandardCharsets.UTF_8).length + value.length;
    }

    /** Returns a tombstone, a record that deletes {@code key}. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, NO_VALUE);
    }
}
