package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.ReadOutcome;
import org.junit.jupiter.api.Test;

/** Tests how a leader appends a batch, against a log in memory. */
final class LeaderLogWriterTest {
    private static final String TOPIC = "jobs";
    private static final int RECORD_COUNT = 1_000;
    private static final int RECORD_BYTES = 1_000;

    private final MemoryLog log = new MemoryLog();
    private final LeaderLogWriter writer = new LeaderLogWriter(log, TOPIC, MemoryLog.LIMITS, 5);

    private static List<KeyedRecord> largeBatch() {
        return IntStream.range(0, RECORD_COUNT)
                .mapToObj(i -> new KeyedRecord("key-" + i, new byte[RECORD_BYTES]))
                .toList();
    }

    /** Guards against finished work that a successor runs again, since it read a part of the batch that ended it. */
    @Test
    void aLargeBatchIsAppendedAsAWhole() {
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        int callsBefore = log.calls;
        assertThat(writer.append(largeBatch())).isEqualTo(new LeaderLogWriter.Result.Durable());
        assertThat(log.calls - callsBefore).isEqualTo(1);
    }

    /** Guards against a leader that writes nothing any more (LOST), since its batch exceeds the limit of the log. */
    @Test
    void aBatchBeyondTheLimitIsAppendedInOrderInSeveralAppends() {
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        int callsBefore = log.calls;
        List<KeyedRecord> batch = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            batch.addAll(largeBatch());
        }
        assertThat(writer.append(batch)).isEqualTo(new LeaderLogWriter.Result.Durable());
        assertThat(log.calls - callsBefore).isEqualTo(3);
        assertThat(log.rejections).isEqualTo(0);
        assertThat(records()).isEqualTo(batch);
    }

    private List<KeyedRecord> records() {
        ReadOutcome read = log.read(TOPIC, 0, 0, Clocks.deadlineAfter(1_000));
        return ((ReadOutcome.Records) read).records();
    }

    /** Guards against repeating for ever an append that the log rejects each time (LOST). */
    @Test
    void theRecordThatTheLogRejectsIsNamed() {
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        log.rejectedKey = "key-700";
        List<KeyedRecord> batch = largeBatch();
        assertThat(writer.append(batch)).isEqualTo(new LeaderLogWriter.Result.Rejected("key-700", "too large"));
        assertThat(records()).isEqualTo(batch.subList(0, 700));
    }

    /** Guards against terms that end, one after the other, since the log does not take a record they can do without. */
    @Test
    void anOptionalRecordThatTheLogRejectsIsLeftOut() {
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        log.rejectedKey = JobRecords.ESTIMATES_KEY;
        KeyedRecord before = new KeyedRecord("a", new byte[] {1});
        KeyedRecord optional = new KeyedRecord(JobRecords.ESTIMATES_KEY, new byte[] {1});
        KeyedRecord after = new KeyedRecord("b", new byte[] {1});
        assertThat(writer.append(List.of(before, optional, after))).isEqualTo(new LeaderLogWriter.Result.Durable());
        assertThat(writer.append(List.of(optional))).isEqualTo(new LeaderLogWriter.Result.Durable());
        assertThat(writer.append(List.of(before))).isEqualTo(new LeaderLogWriter.Result.Durable());
        assertThat(records()).containsExactly(before, after, before).inOrder();
    }

    /**
     * Guards against work that runs twice (TWICE): a leader must not act longer than a successor assumes, which counts
     * from when it received the records.
     */
    @Test
    void anAppendCountsAsConfirmedWhenItsFirstAttemptWasSent() throws Exception {
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        log.failure = MemoryLog.Failure.LOSE_ANSWER;
        long start = System.nanoTime();
        Thread append = Thread.ofVirtual().start(() -> writer.append(List.of(KeyedRecord.tombstone("a"))));
        Clocks.sleep(300);
        log.failure = MemoryLog.Failure.NONE;
        append.join();
        assertThat(writer.lastConfirmed().monotonicNanos() - start).isLessThan(200 * Clocks.NANOS_PER_MILLI);
    }

    @Test
    void nothingOfABatchIsAppendedAfterALaterTermHasBegun() {
        assertThat(writer.fenceEarlierTerms(Clocks.now())).isTrue();
        Append later = new Append(TOPIC, List.of(), new Append.Writer("leader", 6, 0));
        log.append(later, Clocks.deadlineAfter(1_000));
        assertThat(writer.append(largeBatch())).isEqualTo(new LeaderLogWriter.Result.Ended());
    }
}
