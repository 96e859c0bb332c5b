package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.junit.jupiter.api.Test;

/** Tests reads of a log behind a slow link without peers. */
final class SlowLinkTest {
    private static final String TOPIC = "jobs";

    /** Size of the largest page of a snapshot, in bytes. */
    private static final int PAGE_BYTES = 1 << 20;

    /** Longest time that a test waits for an answer, in milliseconds. */
    private static final long TEST_TIMEOUT_MILLIS = 8_000;

    private final MemoryLog memoryLog = new MemoryLog();
    private final FailoverLog log = new FailoverLog(new SlowLinkLog(memoryLog), new Peers("self:1", List::of));

    private static long testDeadline() {
        return Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS);
    }

    private void append(int bytes) {
        KeyedRecord record = new KeyedRecord("key", new byte[bytes]);
        log.append(new Append(TOPIC, List.of(record), new Append.Always()), testDeadline());
    }

    /** Guards against giving up each page of a snapshot during its transfer. */
    @Test
    void aPageOfASnapshotHasTimeForItsTransfer() {
        append(PAGE_BYTES);
        for (int i = 0; i < 10; i++) {
            log.read(TOPIC, 1, 0, testDeadline());
        }
        assertThat(log.newest(TOPIC, "", testDeadline())).isInstanceOf(NewestOutcome.Page.class);
    }
}
