package org.acaciaport.log;

import java.util.ArrayList;
import java.util.List;

/**
 * What the log takes in one append. An append beyond it is rejected each time, so it must not be made.
 *
 * <p>Immutable.
 *
 * @param recordBytes largest size of a record, in bytes; see {@link KeyedRecord#sizeBytes}
 * @param callBytes largest size of all records of an append with their lengths, in bytes; at least that of one record
 */
public record AppendLimits(long recordBytes, long callBytes) {
    /** Size of the length that precedes each record of an append, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** Requires that an append has room for the largest record. */
    public AppendLimits {
        if (recordBytes <= 0 || callBytes < recordBytes + LENGTH_BYTES) {
            throw new IllegalArgumentException(
                    "an append of " + callBytes + " bytes has no room for a record of " + recordBytes + " bytes");
        }
    }

    /** Returns whether the log takes {@code record}. */
    public boolean fits(KeyedRecord record) {
        return record.sizeBytes() <= recordBytes;
    }

    /**
     * Splits {@code records} into appends, in order and as few as possible. A record that the log does not take gets an
     * append of its own.
     */
    public List<List<KeyedRecord>> split(List<KeyedRecord> records) {
        List<List<KeyedRecord>> parts = new ArrayList<>();
        long room = 0;
        for (KeyedRecord record : records) {
            long size = LENGTH_BYTES + record.sizeBytes();
            if (parts.isEmpty() || size > room) {
                parts.add(new ArrayList<>());
                room = callBytes;
            }
            parts.getLast().add(record);
            room -= size;
        }
        return parts;
    }
}
