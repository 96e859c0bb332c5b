package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.acaciaport.estimate.EstimatesSnapshot;
import org.acaciaport.estimate.EstimatesSnapshot.PairLine;
import org.acaciaport.estimate.EstimatesSnapshot.QueueLine;
import org.acaciaport.estimate.EstimatesSnapshot.TargetLine;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Pool;
import org.acaciaport.wire.Codecs;
import org.junit.jupiter.api.Test;

/** Tests what a term writes of its estimates, what followers keep of them, and what the next term starts from. */
final class EstimatesPersistenceTest {
    private static final String TOPIC = "jobs";
    private static final ClockReading START = new ClockReading(5, 5);
    private static final List<Long> MOMENTS = List.of(1_000L, 1_600L, 1_700L, 500L, 400L, 900L);

    private final Pool pool = new Pool();
    private final MemoryLog log = new MemoryLog();
    private final Replica replica = new Replica();
    private final TopicConsumer consumer = new TopicConsumer(TOPIC, log, new TopicConsumer.PollSettings(0, 0), replica);

    private static EstimatesPersistence persistenceOf(Pool pool, AppendLimits limits) {
        return new EstimatesPersistence(pool::estimatesSnapshot, pool::restoreEstimates, limits, START);
    }

    private static EstimatesPersistence persistenceOf(Pool pool) {
        return persistenceOf(pool, MemoryLog.LIMITS);
    }

    /** Returns the reading of the clock after {@code intervals} intervals between records. */
    private static ClockReading after(int intervals) {
        long millis = intervals * EstimatesPersistence.INTERVAL_MILLIS;
        return new ClockReading(START.nanosAfter(millis), START.wallClockMillis() + millis);
    }

    private static EstimatesSnapshot snapshot(int targets) {
        List<TargetLine> lines = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            lines.add(new TargetLine("i-%010d".formatted(i), 1, i % 2 == 0 ? 470 : -511, 500));
        }
        return new EstimatesSnapshot(
                EstimatesSnapshot.VERSION,
                lines,
                MOMENTS,
                List.of(new QueueLine("q", MOMENTS)),
                List.of(new PairLine("q", "a", MOMENTS)));
    }

    private void learn(int targets) {
        assertThat(pool.restoreEstimates(snapshot(targets), START)).isEqualTo(0);
    }

    private void append(List<KeyedRecord> records) {
        log.append(new Append(TOPIC, records, new Append.Always()), Clocks.deadlineAfter(1_000));
    }

    private void catchUp() {
        assertThat(consumer.catchUp(Clocks.deadlineAfter(5_000))).isTrue();
    }

    /** Guards against a term that writes with each heartbeat, which small links transfer four times a second. */
    @Test
    void aRecordIsWrittenAtMostOnceInAnIntervalAndOnlyIfItChanged() {
        EstimatesPersistence persistence = persistenceOf(pool);
        persistence.restore(Optional.empty(), START);
        assertThat(persistence.records(after(1))).isEmpty();
        learn(1);
        assertThat(persistence.records(after(1))).isEmpty();
        assertThat(persistence.records(after(2))).hasSize(1);
        learn(2);
        assertThat(persistence.records(after(2))).isEmpty();
        assertThat(persistence.records(after(3))).hasSize(1);
        assertThat(persistence.records(after(4))).isEmpty();
    }

    /** Guards against records that only differ in order, as estimates that are read become the newest ones. */
    @Test
    void estimatesInAnotherOrderAreNotWritten() {
        EstimatesPersistence persistence = persistenceOf(pool);
        learn(2);
        persistence.restore(Optional.empty(), START);
        EstimatesSnapshot learned = pool.estimatesSnapshot();
        EstimatesSnapshot reversed = new EstimatesSnapshot(
                learned.version(), learned.t().reversed(), learned.all(), learned.q(), learned.p());
        assertThat(pool.restoreEstimates(reversed, START)).isEqualTo(0);
        assertThat(pool.estimatesSnapshot()).isNotEqualTo(learned);
        assertThat(persistence.records(after(1))).isEmpty();
    }

    /** Guards against a loss of what was learned, when all nodes have lost their power and only the log is left. */
    @Test
    void afterALossOfAllPowerANewTermStartsFromTheLog() {
        EstimatesPersistence former = persistenceOf(pool);
        former.restore(Optional.empty(), START);
        learn(245);
        append(former.records(after(1)));
        log.expireRecords();
        catchUp();
        Pool restored = new Pool();
        EstimatesPersistence next = persistenceOf(restored);
        next.restore(replica.estimates(), START);
        assertThat(restored.estimatesSnapshot()).isEqualTo(snapshot(245));
        assertThat(next.records(after(1))).isEmpty();
        System.out.printf(
                "estimates of 245 targets: %d bytes%n",
                replica.estimates().orElseThrow().value().length);
    }

    /** Guards against a term that fails to start, or starts from nonsense, after a malformed record. */
    @Test
    void aMalformedRecordGivesThePrior() throws Exception {
        EstimatesSnapshot otherVersion = new EstimatesSnapshot(2, List.of(), MOMENTS, List.of(), List.of());
        List<byte[]> values = List.of(
                new byte[] {1, 2, 3},
                new byte[] {(byte) 0xc0},
                new byte[] {(byte) 0xdf, -1, -1, -1, -1},
                Codecs.messagePack().writeValueAsBytes(List.of("a")),
                Codecs.messagePack().writeValueAsBytes(otherVersion));
        for (byte[] value : values) {
            Pool fresh = new Pool();
            try (LogCapture capture = LogCapture.of(EstimatesPersistence.class)) {
                persistenceOf(fresh).restore(Optional.of(new KeyedRecord(JobRecords.ESTIMATES_KEY, value)), START);
                assertThat(capture.messagesContaining("outcome=prior")).hasSize(1);
            }
            assertThat(fresh.estimatesSnapshot()).isEqualTo(new Pool().estimatesSnapshot());
        }
    }

    /** Guards against placement by speeds that no target can have. */
    @Test
    void absurdLinesAreDroppedAlone() {
        TargetLine good = new TargetLine("good", 1, 470, 500);
        List<TargetLine> targets = List.of(good, new TargetLine("absurd", 1, Long.MAX_VALUE, 500));
        KeyedRecord record = JobRecords.encode(new EstimatesSnapshot(1, targets, MOMENTS, List.of(), List.of()));
        try (LogCapture capture = LogCapture.of(EstimatesPersistence.class)) {
            persistenceOf(pool).restore(Optional.of(record), START);
            assertThat(capture.messagesContaining("dropped=1")).hasSize(1);
        }
        assertThat(pool.estimatesSnapshot().t()).containsExactly(good);
    }

    /** Guards against a term that ends because the log rejects its estimates. */
    @Test
    void estimatesTooLargeForARecordAreLeftOut() {
        EstimatesPersistence persistence = persistenceOf(pool, new AppendLimits(1_000, 2_000));
        persistence.restore(Optional.empty(), START);
        learn(245);
        try (LogCapture capture = LogCapture.of(EstimatesPersistence.class)) {
            assertThat(persistence.records(after(1))).isEmpty();
            assertThat(capture.messagesContaining("outcome=left-out")).hasSize(1);
        }
        learn(1);
        assertThat(persistence.records(after(2))).hasSize(1);
    }

    /** Guards against a term that ends because its estimates cannot be encoded. */
    @Test
    void estimatesThatCannotBeEncodedAreLeftOut() {
        EstimatesPersistence persistence = new EstimatesPersistence(
                () -> {
                    throw new IllegalStateException("test");
                },
                pool::restoreEstimates,
                MemoryLog.LIMITS,
                START);
        try (LogCapture capture = LogCapture.of(EstimatesPersistence.class)) {
            persistence.restore(Optional.empty(), START);
            assertThat(persistence.records(after(1))).isEmpty();
            assertThat(capture.messagesContaining("outcome=left-out")).hasSize(2);
        }
    }

    /** Guards against followers that keep each version, or the objects of one, in their small memory. */
    @Test
    void aFollowerKeepsOnlyTheNewestRecordAsItIs() {
        List<KeyedRecord> records = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            records.add(JobRecords.encode(snapshot(i)));
        }
        KeyedRecord newest = new KeyedRecord(JobRecords.ESTIMATES_KEY, new byte[] {1, 2, 3});
        records.add(newest);
        append(records);
        try (LogCapture capture = LogCapture.of(Replica.class)) {
            catchUp();
            assertThat(capture.messagesContaining("outcome=skipped")).isEmpty();
        }
        assertThat(replica.estimates().orElseThrow()).isSameInstanceAs(newest);
        append(List.of(KeyedRecord.tombstone(JobRecords.ESTIMATES_KEY)));
        catchUp();
        assertThat(replica.estimates()).isEmpty();
    }

    /** Guards against a huge record that fills the memory of every follower. */
    @Test
    void aFollowerSkipsARecordBeyondTheBound() {
        KeyedRecord usable = JobRecords.encode(snapshot(1));
        byte[] huge = new byte[JobRecords.MAX_ESTIMATES_BYTES + 1];
        append(List.of(usable));
        catchUp();
        append(List.of(new KeyedRecord(JobRecords.ESTIMATES_KEY, huge)));
        try (LogCapture capture = LogCapture.of(Replica.class)) {
            catchUp();
            assertThat(capture.messagesContaining("outcome=skipped")).hasSize(1);
        }
        assertThat(replica.estimates()).hasValue(usable);
    }

    /** Guards against a successor that treats leases as expired too early, as it does not count these records. */
    @Test
    void onlyLeadersWriteTheRecord() {
        assertThat(JobRecords.isOfLeader(JobRecords.ESTIMATES_KEY)).isTrue();
    }
}
