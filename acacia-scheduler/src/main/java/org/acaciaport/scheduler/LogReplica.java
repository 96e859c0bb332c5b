package org.acaciaport.scheduler;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.Verdict;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.PlatformLog;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;
import org.jboss.logging.Logger;

/**
 * A replica of the state that follows from the platform's log, which also appends to the log.
 *
 * <p>One thread reads entries and applies them in order; another appends records in batches. An append that was not
 * confirmed is retried with the same sequence numbers, and replay ignores duplicates, so a record takes effect at most
 * once.
 *
 * <p>Thread-safe. Reading the directory never blocks.
 */
final class LogReplica implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LogReplica.class);
    private static final int MAX_READ_ENTRIES = 1_000;
    private static final long POLL_TIMEOUT_MILLIS = 500;
    private static final int MAX_BATCH_RECORDS = 200;
    private static final int MAX_QUEUED_RECORDS = 20_000;
    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 2_000;

    /** Keeps the shift from overflowing. */
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** Receives the progress of the replay, on the thread that reads the log. */
    interface Listener {
        /** Called for each entry, in log order, after it was applied; {@code directory} is the state that results. */
        void onApplied(LogEntry entry, Verdict verdict, Directory directory);

        /** Called when all entries that were on the log at local time {@code sentAt} have been applied. */
        void onCaughtUp(long sentAt);

        /** Called when a read changes whether the log is available. */
        void onAvailabilityChanged(boolean available);
    }

    /** A queued record and the future of its verdict. */
    private record PendingAppend(LogRecord record, CompletableFuture<Verdict> verdict) {}

    private final PlatformLog log;
    private final Clock clock;
    private final String writer;
    private final Counter appended;
    private final Counter batches;
    private final AtomicReference<Directory> directory = new AtomicReference<>(Directory.EMPTY);
    private final BlockingQueue<PendingAppend> queue = new LinkedBlockingQueue<>(MAX_QUEUED_RECORDS);
    private final Map<Long, CompletableFuture<Verdict>> verdicts = new ConcurrentHashMap<>();
    private volatile boolean readable;
    private volatile boolean appendable = true;
    private volatile boolean open = true;

    LogReplica(PlatformLog log, Clock clock, String writer, MetricRegistry metrics) {
        this.log = log;
        this.clock = clock;
        this.writer = writer;
        appended = metrics.counter("log.appended");
        batches = metrics.counter("log.batches");
        metrics.gauge("log.queue", () -> queue::size);
    }

    /** Starts the threads that read from and append to the log. */
    void start(Listener listener) {
        Thread.ofPlatform().name("log-reader").daemon().start(() -> readLoop(listener));
        Thread.ofPlatform().name("log-writer").daemon().start(this::writeLoop);
    }

    /** Returns the state after the last applied entry. */
    Directory directory() {
        return directory.get();
    }

    /** Returns whether the last read and the last append both succeeded. */
    boolean isAvailable() {
        return readable && appendable;
    }

    /**
     * Queues {@code record} to be appended.
     *
     * @return a future that completes with the verdict when the record is replayed, or fails at once if the queue is
     *     full
     */
    CompletableFuture<Verdict> append(LogRecord record) {
        CompletableFuture<Verdict> verdict = new CompletableFuture<>();
        if (!queue.offer(new PendingAppend(record, verdict))) {
            verdict.completeExceptionally(new PlatformException(
                    PlatformException.Kind.NOT_DONE, "the queue of records to append is full; try again later", null));
        }
        return verdict;
    }

    @Override
    public void close() {
        open = false;
    }

    private void writeLoop() {
        long sequence = 1;
        while (open) {
            try {
                List<PendingAppend> batch = takeBatch();
                if (batch.isEmpty()) {
                    continue;
                }
                for (int i = 0; i < batch.size(); i++) {
                    verdicts.put(sequence + i, batch.get(i).verdict());
                }
                appendUntilConfirmed(
                        sequence, batch.stream().map(PendingAppend::record).toList());
                sequence += batch.size();
                appended.inc(batch.size());
                batches.inc();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private List<PendingAppend> takeBatch() throws InterruptedException {
        List<PendingAppend> batch = new ArrayList<>();
        PendingAppend first = queue.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            queue.drainTo(batch, MAX_BATCH_RECORDS - 1);
        }
        return batch;
    }

    private void appendUntilConfirmed(long sequence, List<LogRecord> records) throws InterruptedException {
        for (int tries = 0; open; tries++) {
            try {
                log.append(writer, sequence, records);
                appendable = true;
                return;
            } catch (PlatformException e) {
                appendable = false;
                LOG.warnf(
                        "log: append failed, sequence=%d records=%d tries=%d, %s",
                        sequence, records.size(), tries, e.getMessage());
                backOff(tries);
                // Replay has removed the verdict of the last record, so the batch was appended without confirmation.
                if (!verdicts.containsKey(sequence + records.size() - 1)) {
                    appendable = true;
                    return;
                }
            }
        }
    }

    private void readLoop(Listener listener) {
        int failures = 0;
        while (open) {
            long sentAt = clock.millis();
            try {
                PlatformLog.Page page = log.read(directory.get().nextOffset(), MAX_READ_ENTRIES, POLL_TIMEOUT_MILLIS);
                for (LogEntry entry : page.entries()) {
                    apply(entry, listener);
                }
                failures = 0;
                setReadable(true, listener);
                if (directory.get().nextOffset() >= page.end()) {
                    listener.onCaughtUp(sentAt);
                }
            } catch (PlatformException e) {
                LOG.warnf("log: read failed, next=%d, %s", directory.get().nextOffset(), e.getMessage());
                setReadable(false, listener);
                failures++;
                backOffOrStop(failures);
            }
        }
    }

    private void apply(LogEntry entry, Listener listener) {
        Directory.ApplyResult step = directory.get().apply(entry);
        directory.set(step.directory());
        listener.onApplied(entry, step.verdict(), step.directory());
        if (entry.writer().equals(writer)) {
            CompletableFuture<Verdict> waiting = verdicts.remove(entry.sequence());
            if (waiting != null) {
                waiting.complete(step.verdict());
            }
        }
    }

    private void setReadable(boolean available, Listener listener) {
        boolean wasAvailable = isAvailable();
        readable = available;
        if (isAvailable() != wasAvailable) {
            listener.onAvailabilityChanged(isAvailable());
        }
    }

    private void backOffOrStop(int tries) {
        try {
            backOff(tries);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            open = false;
        }
    }

    /** Sleeps for the backoff that follows {@code tries} failures, reduced by a random part of up to a half. */
    private static void backOff(int tries) throws InterruptedException {
        long limit = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(tries, MAX_BACKOFF_DOUBLINGS));
        Thread.sleep(limit / 2 + ThreadLocalRandom.current().nextLong(limit / 2 + 1));
    }
}
