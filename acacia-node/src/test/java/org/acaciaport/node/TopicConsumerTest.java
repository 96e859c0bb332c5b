package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.ReadOutcome;
import org.junit.jupiter.api.Test;

/** Tests how a consumer reads a topic whose records take several reads, against an in-memory log. */
final class TopicConsumerTest {
    private static final String TOPIC = "jobs";

    /** Longest time that a test waits for a consumer, in milliseconds. */
    private static final long TEST_TIMEOUT_MILLIS = 3_000;

    private final MemoryLog log = new MemoryLog();
    private final RecordingSink sink = new RecordingSink();

    private void append(String key) {
        log.append(
                new Append(TOPIC, List.of(new KeyedRecord(key, new byte[1])), new Append.Always()),
                Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS));
    }

    private List<String> appendKeys(int count) {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            keys.add("key-" + i);
            append("key-" + i);
        }
        return keys;
    }

    private TopicConsumer newConsumer(TopicConsumer.PollSettings pollSettings) {
        return new TopicConsumer(TOPIC, log, pollSettings, sink);
    }

    /**
     * Guards against taking an answer that leaves records unread as a failure of the log: the consumer logged the log
     * as lost and paused before each further read.
     */
    @Test
    void aConsumerReadsOnAtOnceWhileRecordsAreLeft() throws Exception {
        TopicConsumer consumer = newConsumer(new TopicConsumer.PollSettings(0, 10 * TEST_TIMEOUT_MILLIS));
        log.maxReadRecords = 1;
        consumer.catchUp(Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS));
        List<String> keys = appendKeys(100);
        try (LogCapture capture = LogCapture.of(TopicConsumer.class)) {
            consumer.start();
            assertTimeoutPreemptively(Duration.ofMillis(TEST_TIMEOUT_MILLIS), () -> awaitKeys(keys));
            assertThat(capture.messagesContaining("outcome=lost")).isEmpty();
        } finally {
            consumer.stop();
        }
    }

    private void awaitKeys(List<String> keys) {
        while (!sink.keys().equals(keys)) {
            Clocks.sleep(1);
        }
    }

    @Test
    void aCallerReadsOnAtOnceWhileRecordsAreLeft() {
        TopicConsumer consumer = newConsumer(new TopicConsumer.PollSettings(0, 0));
        log.maxReadRecords = 1;
        consumer.catchUp(Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS));
        List<String> keys = appendKeys(100);
        assertThat(consumer.catchUp(Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS))).isTrue();
        assertThat(sink.keys()).isEqualTo(keys);
    }

    /** Guards against reading without a pause when answers hold no records although the topic goes on. */
    @Test
    void answersWithoutTheRecordsThatExistAreFailures() {
        TopicConsumer consumer = newConsumer(new TopicConsumer.PollSettings(0, 0));
        consumer.catchUp(Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS));
        append("key");
        log.maxReadRecords = 0;
        int before = log.calls;
        assertThat(consumer.catchUp(Clocks.deadlineAfter(300))).isFalse();
        assertThat(log.calls - before).isAtMost(10);
    }

    /** Guards against a topic without new records that counts as current only after the first wait for one. */
    @Test
    void theFirstReadAfterASnapshotDoesNotWaitForNewRecords() {
        append("key");
        TopicConsumer consumer = newConsumer(new TopicConsumer.PollSettings(TEST_TIMEOUT_MILLIS, 1));
        consumer.start();
        assertTimeoutPreemptively(Duration.ofMillis(TEST_TIMEOUT_MILLIS), () -> awaitKeys(List.of("key")));
        while (log.readWaits.size() < 2) {
            Clocks.sleep(1);
        }
        consumer.stop();
        assertThat(log.readWaits.subList(0, 2))
                .containsExactly(0L, TEST_TIMEOUT_MILLIS)
                .inOrder();
    }

    /** Guards against a log line that does not say why a topic was lost, or how much of it is missing. */
    @Test
    void aLostTopicIsLoggedWithItsReason() {
        TopicConsumer consumer = newConsumer(new TopicConsumer.PollSettings(0, 1));
        try (LogCapture capture = LogCapture.of(TopicConsumer.class)) {
            consumer.start();
            appendKeys(1);
            assertTimeoutPreemptively(Duration.ofMillis(TEST_TIMEOUT_MILLIS), () -> awaitKeys(List.of("key-0")));
            log.maxReadRecords = 0;
            appendKeys(3);
            awaitMessage(capture, "outcome=lost");
            assertThat(capture.messagesContaining("outcome=lost").get(0))
                    .matches(".*outcome=lost behind=[1-3] reason=no records in the answer.*");
            log.maxReadRecords = Integer.MAX_VALUE;
            awaitMessage(capture, "outcome=regained");
            assertThat(capture.messagesContaining("outcome=regained").get(0)).contains("behind=0");
        } finally {
            consumer.stop();
        }
    }

    private static void awaitMessage(LogCapture capture, String text) {
        assertTimeoutPreemptively(Duration.ofMillis(TEST_TIMEOUT_MILLIS), () -> {
            while (capture.messagesContaining(text).isEmpty()) {
                Clocks.sleep(1);
            }
        });
    }

    /** Guards against the loss of the reason for which a route to the log failed. */
    @Test
    void aReadWithoutAnAnswerNamesTheReasonOfEachRoute() {
        FailoverLog failoverLog = new FailoverLog(log, new Peers("self:1", List::of));
        log.failure = MemoryLog.Failure.REFUSE;
        ReadOutcome outcome = failoverLog.read(TOPIC, 0, 0, Clocks.deadlineAfter(TEST_TIMEOUT_MILLIS));
        assertThat(((ReadOutcome.Unavailable) outcome).reason()).contains("direct: refusing");
    }

    /** Guards against logging that a topic is lost when its consumer is stopped. */
    @Test
    void aStoppedConsumerDoesNotLogTheTopicAsLost() {
        TopicConsumer consumer = newConsumer(new TopicConsumer.PollSettings(0, 0));
        appendKeys(1);
        try (LogCapture capture = LogCapture.of(TopicConsumer.class)) {
            consumer.start();
            assertTimeoutPreemptively(Duration.ofMillis(TEST_TIMEOUT_MILLIS), () -> awaitKeys(List.of("key-0")));
            consumer.stop();
            Clocks.sleep(100);
            assertThat(capture.messagesContaining("outcome=lost")).isEmpty();
        }
    }
}
