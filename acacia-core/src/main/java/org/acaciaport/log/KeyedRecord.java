package org.acaciaport.log;

/**
 * A record of a {@link KeyedLog}.
 *
 * <p>The value is not copied; callers leave it unchanged.
 *
 * @param key what the record is about; a later record with the same key replaces it
 * @param value the content; empty to drop the key
 */
public record KeyedRecord(String key, byte[] value) {
    private static final byte[] EMPTY = {};

    /** Returns a record that drops {@code key}. */
    public static KeyedRecord drop(String key) {
        return new KeyedRecord(key, EMPTY);
    }
}
