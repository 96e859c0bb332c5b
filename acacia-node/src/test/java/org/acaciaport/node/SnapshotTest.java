package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.junit.jupiter.api.Test;

/** Tests a consumer that starts from a snapshot of several pages, some of which fail. */
final class SnapshotTest {
    private static final String TOPIC = "jobs";

    /** Longest time that a test waits for a consumer, in milliseconds. */
    private static final long TEST_TIMEOUT_MILLIS = 3_000;

    private final MemoryLog memoryLog = new MemoryLog();
    private final RecordingSink sink = new RecordingSink();
    private final AtomicInteger pages = new AtomicInteger();
    private volatile IntPredicate failingPages = page -> false;

    private volatile Runnable beforeWaitingRead = () -> {};

    /** Holds the answers of reads that wait for new records while its count is above 0. */
    private volatile CountDownLatch released = new CountDownLatch(0);

    private final CountDownLatch held = new CountDownLatch(1);

    /** The memory log with failing pages and held reads. */
    private final class TestLog implements KeyedLog {
        @Override
        public AppendOutcome append(Append append, long deadline) {
            return memoryLog.append(append, deadline);
        }

        @Override
        public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
            if (waitMillis == 0) {
                return memoryLog.read(topic, from, waitMillis, deadline);
            }
            beforeWaitingRead.run();
            ReadOutcome outcome = memoryLog.read(topic, from, waitMillis, deadline);
            held.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                return new ReadOutcome.Unavailable("interrupted");
            }
            return outcome;
        }

        @Override
        public NewestOutcome newest(String topic, String after, long deadline) {
            return failingPages.test(pages.incrementAndGet())
                    ? new NewestOutcome.Unavailable("failing page")
                    : memoryLog.newest(topic, after, deadline);
        }
    }

    private static long testDeadline() {
        return Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS);
    }

    private TopicConsumer newConsumer(long waitMillis) {
        return new TopicConsumer(TOPIC, new TestLog(), new TopicConsumer.PollSettings(waitMillis, 0), sink);
    }

    private void append(String key) {
        KeyedRecord record = new KeyedRecord(key, new byte[1]);
        memoryLog.append(new Append(TOPIC, List.of(record), new Append.Always()), testDeadline());
    }

    private List<String> appendKeys(int count) {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            keys.add("key-" + i);
            append("key-" + i);
        }
        return keys;
    }

    /** Guards against starting again from the first page after each failed one, so that a long snapshot never ends. */
    @Test
    void aSnapshotGoesOnAfterAFailedPage() {
        List<String> keys = appendKeys(10);
        failingPages = page -> page % 3 == 0;
        TopicConsumer consumer = newConsumer(0);
        assertThat(consumer.catchUp(testDeadline())).isTrue();
        assertThat(sink.keys()).isEqualTo(keys);
        assertThat(sink.resets()).isEqualTo(1);
    }

    /** Guards against a snapshot that goes on with records that have expired since its first page. */
    @Test
    void aSnapshotStartsAgainWhenTheLogHasExpiredMeanwhile() {
        List<String> keys = appendKeys(5);
        failingPages = page -> page > 2;
        TopicConsumer consumer = newConsumer(0);
        assertThat(consumer.catchUp(Clocks.deadlineAfter(200))).isFalse();
        append("key-5");
        keys.add("key-5");
        append("key-0");
        memoryLog.expireRecords();
        failingPages = page -> false;
        assertThat(consumer.catchUp(testDeadline())).isTrue();
        assertThat(sink.keysWhenCaughtUp()).containsExactlyElementsIn(keys);
    }

    /**
     * Guards against a sink that counts as complete with a part of a snapshot, because the answer of a read from before
     * the snapshot came while the snapshot was incomplete.
     */
    @Test
    void recordsReadBeforeASnapshotDoNotCompleteIt() throws Exception {
        List<String> keys = appendKeys(3);
        released = new CountDownLatch(1);
        beforeWaitingRead = () -> append("key-3");
        TopicConsumer consumer = newConsumer(1);
        consumer.start();
        held.await();
        append("key-4");
        memoryLog.expireRecords();
        int firstPage = pages.get() + 1;
        failingPages = page -> page > firstPage;
        assertThat(consumer.catchUp(Clocks.deadlineAfter(200))).isFalse();
        int pagesBefore = pages.get();
        released.countDown();
        while (pages.get() < pagesBefore + 2) {
            Clocks.sleep(1);
        }
        consumer.stop();
        assertThat(sink.keysWhenCaughtUp()).isEqualTo(keys);
    }
}
