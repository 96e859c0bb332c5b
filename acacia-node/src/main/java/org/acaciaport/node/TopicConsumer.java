package org.acaciaport.node;

import java.util.List;
import java.util.Optional;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Consumes one topic of the log and passes its records to a sink, in order.
 *
 * <p>Starts from a snapshot, the newest record of each key, and takes another snapshot whenever the log no longer has
 * the next record. A snapshot goes on after a failed page. Reads on at once while an answer leaves records of the topic
 * unread. A read waits for new records only if the one before it left none unread, so that the sink counts as current
 * as soon as possible after a snapshot or a failed read. A record that the sink cannot apply is left out, and any other
 * exception counts as a failed read, so that neither ends the consumer.
 *
 * <p>Runs on its own thread. {@link #catchUp} is thread-safe. Reads that do not wait for new records, those of callers
 * included, are made one at a time.
 */
final class TopicConsumer {
    private static final Logger LOG = Logger.getLogger(TopicConsumer.class);

    /** Timeout of a read beyond the time for which it waits for new records, in milliseconds. */
    private static final long READ_TIMEOUT_MARGIN_MILLIS = 2_500;

    /** Timeout of a page of a snapshot, in milliseconds; a page is long, and may be tried on several routes. */
    private static final long PAGE_TIMEOUT_MILLIS = 8_000;

    /** Longest time for which the consumer's thread waits for a shared read, in milliseconds. */
    private static final long SHARED_READ_TIMEOUT_MILLIS = 20_000;

    /** Delay after a failed read, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 60;

    /** Receives the records of a topic. Calls are serialized by the consumer's lock. */
    interface Sink {
        /** Discards all records; a snapshot follows. */
        void reset();

        /** Applies one record. Its offset is higher than that of earlier records with the same key. */
        void apply(KeyedRecord record, long offset);

        /**
         * Called when all records that were in the topic at {@code asOf} have been applied.
         *
         * @param nextOffset offset of the next record
         */
        void caughtUp(ClockReading asOf, long nextOffset);
    }

    /**
     * How a topic is polled.
     *
     * @param waitMillis how long a read waits for a new record, in milliseconds
     * @param delayMillis delay between two reads, in milliseconds
     */
    record PollSettings(long waitMillis, long delayMillis) {}

    /**
     * How far a snapshot has been passed on.
     *
     * @param after the last key passed on
     * @param end the offset at which the topic ended when the first page was read
     */
    private record SnapshotPosition(String after, long end) {}

    private final String topic;
    private final KeyedLog log;
    private final Sink sink;
    private final PollSettings pollSettings;
    private volatile long currentDelayMillis;
    private final Object lock = new Object();
    private final SharedRead<ReadProgress> sharedRead;
    private final Thread thread;
    private volatile boolean stopped;

    /** Offset of the next record; -1 while a snapshot is needed. */
    private long nextOffset = -1;

    /** Highest offset at which an answer said that the topic ended. */
    private long latestEnd;

    /** How far a snapshot has been passed on; null if none has been started. */
    private SnapshotPosition snapshotPosition;

    /** Whether the last read of this consumer's thread failed. */
    private boolean failing;

    TopicConsumer(String topic, KeyedLog log, PollSettings pollSettings, Sink sink) {
        this.topic = topic;
        this.log = log;
        this.pollSettings = pollSettings;
        currentDelayMillis = pollSettings.delayMillis();
        this.sink = new SkippingSink(topic, sink);
        sharedRead = new SharedRead<>("catch-up-" + topic, () -> ReadProgress.of(this::readOn));
        thread = Thread.ofVirtual().name("follow-" + topic).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        boolean current = false;
        while (!stopped) {
            ReadProgress outcome =
                    current ? ReadProgress.of(() -> readRecords(pollSettings.waitMillis())) : awaitSharedRead();
            current = outcome instanceof ReadProgress.Current;
            if (stopped) {
                return;
            }
            logChange(outcome);
            long delay = delayAfter(outcome);
            if (delay > 0 && !Clocks.sleep(delay)) {
                return;
            }
        }
    }

    private ReadProgress awaitSharedRead() {
        return sharedRead
                .await(Clocks.deadlineAfter(SHARED_READ_TIMEOUT_MILLIS))
                .orElseGet(() -> new ReadProgress.Failed("no shared read ended in time"));
    }

    /** Returns the delay before the next read of this consumer's thread, in milliseconds. */
    private long delayAfter(ReadProgress outcome) {
        return switch (outcome) {
            case ReadProgress.Current current -> currentDelayMillis;
            case ReadProgress.Behind behind -> 0;
            case ReadProgress.Failed failed -> RETRY_DELAY_MILLIS;
        };
    }

    private void logChange(ReadProgress progress) {
        boolean failed = progress instanceof ReadProgress.Failed;
        if (failed == failing) {
            return;
        }
        failing = failed;
        if (progress instanceof ReadProgress.Failed(String reason)) {
            LOG.infof("dependency: log topic=%s outcome=lost behind=%s reason=%s", topic, describeLag(), reason);
        } else {
            LOG.infof("dependency: log topic=%s outcome=regained behind=%s", topic, describeLag());
        }
    }

    /** Returns how many records of the topic are missing as of the latest answer, in words if that is not known. */
    private String describeLag() {
        synchronized (lock) {
            return nextOffset < 0 ? "unknown" : String.valueOf(Math.max(0, latestEnd - nextOffset));
        }
    }

    /** Sets whether to omit the delay between reads. */
    void setPollContinuously(boolean continuous) {
        currentDelayMillis = continuous ? 0 : pollSettings.delayMillis();
    }

    /** Reads up to the current end of the topic; returns false if that was not possible by {@code deadline}. */
    boolean catchUp(long deadline) {
        while (Clocks.millisUntil(deadline) > 0) {
            Optional<ReadProgress> outcome = sharedRead.await(deadline);
            if (outcome.isEmpty()) {
                return false;
            }
            if (outcome.get() instanceof ReadProgress.Current) {
                return true;
            }
            if (outcome.get() instanceof ReadProgress.Failed && !Clocks.sleep(RETRY_DELAY_MILLIS)) {
                return false;
            }
        }
        return false;
    }

    private long nextOffset() {
        synchronized (lock) {
            return nextOffset;
        }
    }

    /** Reads records without a wait for new ones, or a page if a snapshot is needed. Called by one thread at a time. */
    private ReadProgress readOn() {
        return nextOffset() < 0 ? loadPage() : readRecords(0);
    }

    private ReadProgress readRecords(long waitMillis) {
        long from = nextOffset();
        if (from < 0) {
            return new ReadProgress.Behind();
        }
        ClockReading asOf = Clocks.now();
        return switch (log.read(
                topic, from, waitMillis, Clocks.deadlineAfter(waitMillis + READ_TIMEOUT_MARGIN_MILLIS))) {
            case ReadOutcome.Records records -> applyRecords(records, from, asOf);
            case ReadOutcome.Expired expired -> {
                LOG.infof("consume: topic=%s from=%s first=%s outcome=snapshot-needed", topic, from, expired.first());
                requestSnapshot(from);
                yield new ReadProgress.Behind();
            }
            case ReadOutcome.Unavailable unavailable -> {
                LOG.debugf("consume: topic=%s outcome=unavailable reason=%s", topic, unavailable.reason());
                yield new ReadProgress.Failed(unavailable.reason());
            }
        };
    }

    /** Requests a snapshot unless another thread has passed on records or requested one since {@code from}. */
    private void requestSnapshot(long from) {
        synchronized (lock) {
            nextOffset = nextOffset == from ? -1 : nextOffset;
        }
    }

    /** Passes on the records that another thread has not passed on meanwhile. */
    private ReadProgress applyRecords(ReadOutcome.Records read, long from, ClockReading asOf) {
        synchronized (lock) {
            latestEnd = Math.max(latestEnd, read.end());
            if (nextOffset < from) {
                return new ReadProgress.Behind(); // A snapshot has been started since the read began.
            }
            List<KeyedRecord> records = read.records();
            for (int i = 0; i < records.size(); i++) {
                if (from + i >= nextOffset) {
                    sink.apply(records.get(i), from + i);
                    nextOffset = from + i + 1;
                }
            }
            if (nextOffset >= read.end()) {
                sink.caughtUp(asOf, nextOffset);
                return new ReadProgress.Current();
            }
            return records.isEmpty() ? new ReadProgress.Failed("no records in the answer") : new ReadProgress.Behind();
        }
    }

    /**
     * Reads and passes on the next page of a snapshot. Called by one thread at a time.
     *
     * <p>Records at or after the end of the first page are left out: they are read from the topic afterwards.
     */
    private ReadProgress loadPage() {
        SnapshotPosition position;
        synchronized (lock) {
            position = snapshotPosition;
        }
        String after = position == null ? "" : position.after();
        return switch (log.newest(topic, after, Clocks.deadlineAfter(PAGE_TIMEOUT_MILLIS))) {
            case NewestOutcome.Page page -> applyPage(page, position);
            case NewestOutcome.Unavailable unavailable -> {
                LOG.debugf("consume: topic=%s outcome=unavailable reason=%s", topic, unavailable.reason());
                yield new ReadProgress.Failed(unavailable.reason());
            }
        };
    }

    /** Passes on the page after {@code position}, which is null for the first page. */
    private ReadProgress applyPage(NewestOutcome.Page page, SnapshotPosition position) {
        if (page.more() && page.items().isEmpty()) {
            return new ReadProgress.Failed("no keys in the page");
        }
        long end = position == null ? page.end() : position.end();
        synchronized (lock) {
            if (position == null) {
                sink.reset();
            }
            for (NewestOutcome.Item item : page.items()) {
                if (item.offset() < end) {
                    sink.apply(item.record(), item.offset());
                }
            }
            if (page.more()) {
                String last = page.items().getLast().record().key();
                snapshotPosition = new SnapshotPosition(last, end);
            } else {
                snapshotPosition = null;
                nextOffset = end;
            }
        }
        return new ReadProgress.Behind();
    }
}
