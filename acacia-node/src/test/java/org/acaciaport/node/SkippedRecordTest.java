package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.acaciaport.log.Append;
import org.acaciaport.log.KeyedRecord;
import org.junit.jupiter.api.Test;

/** Tests that a topic is followed beyond records that its sink cannot apply, against an in-memory log. */
final class SkippedRecordTest {
    private static final String TOPIC = "targets";
    private static final long TIMEOUT_SECONDS = 20;

    private final MemoryLog log = new MemoryLog();
    private final RecordingSink sink = new RecordingSink();
    private final TopicConsumer consumer = new TopicConsumer(TOPIC, log, new TopicConsumer.PollSettings(0, 1), sink);

    private static long deadline() {
        return Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
    }

    private void append(String... keys) {
        for (String key : keys) {
            KeyedRecord record = new KeyedRecord(key, new byte[1]);
            log.append(new Append(TOPIC, List.of(record), new Append.Always()), deadline());
        }
    }

    private void awaitKeys(String... keys) {
        long deadline = deadline();
        while (!sink.keys().equals(List.of(keys)) && Clocks.millisUntil(deadline) > 0) {
            Clocks.sleep(1);
        }
        assertThat(sink.keys()).containsExactlyElementsIn(keys).inOrder();
    }

    /** Guards against a topic that nobody follows any more after a record that cannot be applied. */
    @Test
    void aRecordThatCannotBeAppliedIsSkipped() {
        sink.badKey = "bad";
        try (LogCapture capture = LogCapture.of(SkippingSink.class)) {
            consumer.start();
            append("first");
            awaitKeys("first");
            append("bad", "second");
            awaitKeys("first", "second");
            assertThat(consumer.catchUp(deadline())).isTrue();
            assertThat(capture.messagesContaining("key=bad offset=1 outcome=skipped reason="))
                    .hasSize(1);
        } finally {
            consumer.stop();
        }
    }

    /** Guards against a snapshot that never ends, as one of its records cannot be applied. */
    @Test
    void aRecordOfASnapshotThatCannotBeAppliedIsSkipped() {
        sink.badKey = "bad";
        append("bad", "first", "second");
        try {
            consumer.start();
            awaitKeys("first", "second");
            assertThat(consumer.catchUp(deadline())).isTrue();
        } finally {
            consumer.stop();
        }
    }

    /** Guards against callers and a consumer that end with the first exception of the sink. */
    @Test
    void aSinkThatCannotCatchUpIsAskedAgain() {
        append("first");
        sink.catchUpsToThrow = 3;
        try (LogCapture capture = LogCapture.of(TopicConsumer.class)) {
            consumer.start();
            awaitKeys("first");
            assertThat(consumer.catchUp(deadline())).isTrue();
            append("second");
            awaitKeys("first", "second");
            assertThat(capture.messagesContaining("outcome=lost").get(0)).contains("cannot catch up");
        } finally {
            consumer.stop();
        }
    }

    /** Guards against a node that never leads, as the key of one record names no job. */
    @Test
    void jobsAreReadBeyondARecordWithoutAJob() {
        Replica replica = new Replica();
        TopicConsumer jobConsumer = new TopicConsumer(TOPIC, log, new TopicConsumer.PollSettings(0, 1), replica);
        append("first");
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        KeyedRecord odd = KeyedRecord.tombstone(JobRecords.TASK_PREFIX + "without-a-job");
        log.append(new Append(TOPIC, List.of(odd), new Append.Always()), deadline());
        append("last");
        assertThat(jobConsumer.catchUp(deadline())).isTrue();
        assertThat(replica.nextOffset()).isEqualTo(3);
    }
}
