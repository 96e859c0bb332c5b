package org.acaciaport.log;

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

    /** Returns a tombstone, a record that deletes {@code key}. */
    public static KeyedRecord tombstone(String key) {
        return new KeyedRecord(key, NO_VALUE);
    }
}
