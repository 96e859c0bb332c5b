package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.junit.jupiter.api.Test;

/** Tests how a leader appends a batch, against a log in memory. */
final class LeaderLogWriterTest {
    private static final String TOPIC = "jobs";
    private static final int RECORD_COUNT = 1_000;
    private static final int RECORD_BYTES = 1_000;

    private final MemoryLog log = new MemoryLog();
    private final LeaderLogWriter writer = new LeaderLogWriter(log, TOPIC, 5);

    private static List<KeyedRecord> largeBatch() {
        return IntStream.range(0, RECORD_COUNT)
                .mapToObj(i -> new KeyedRecord("key-" + i, new byte[RECORD_BYTES]))
                .toList();
    }

    /** Guards against finished work that a successor runs again, since it read a part of the batch that ended it. */
    @Test
    void aLargeBatchIsAppendedAsAWhole() {
        assertThat(writer.fenceEarlierTerms()).isTrue();
        int callsBefore = log.calls;
        assertThat(writer.append(largeBatch())).isTrue();
        assertThat(log.calls - callsBefore).isEqualTo(1);
    }

    @Test
    void nothingOfABatchIsAppendedAfterALaterTermHasBegun() {
        assertThat(writer.fenceEarlierTerms()).isTrue();
        Append later = new Append(TOPIC, List.of(), new Append.Writer("leader", 6, 0));
        log.append(later, Clocks.deadlineAfter(1_000));
        assertThat(writer.append(largeBatch())).isFalse();
    }
}
