package org.acaciaport.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how records are split into appends. */
final class AppendLimitsTest {
    private final AppendLimits limits = new AppendLimits(10, 30);

    /** Returns a record of {@code bytes} bytes, as the log counts them. */
    private static KeyedRecord record(int bytes) {
        return new KeyedRecord("k", new byte[bytes - 2]);
    }

    @Test
    void anAppendTakesAsManyRecordsAsFitWithTheirLengths() {
        KeyedRecord ten = record(10);
        KeyedRecord two = record(2);
        assertThat(limits.split(List.of(ten, ten, two, ten))).containsExactly(List.of(ten, ten), List.of(two, ten));
        assertThat(limits.split(List.of())).isEmpty();
    }

    @Test
    void aRecordBeyondTheLimitsIsAlone() {
        KeyedRecord large = record(40);
        KeyedRecord two = record(2);
        assertThat(limits.fits(large)).isFalse();
        assertThat(limits.fits(record(10))).isTrue();
        assertThat(limits.split(List.of(two, large, two))).containsExactly(List.of(two), List.of(large), List.of(two));
    }

    @Test
    void aKeyCountsInBytes() {
        assertThat(KeyedRecord.tombstone("\u00e9").sizeBytes()).isEqualTo(3);
    }

    @Test
    void anAppendHasRoomForTheLargestRecord() {
        assertThrows(IllegalArgumentException.class, () -> new AppendLimits(10, 13));
        assertThrows(IllegalArgumentException.class, () -> new AppendLimits(0, 13));
    }
}
