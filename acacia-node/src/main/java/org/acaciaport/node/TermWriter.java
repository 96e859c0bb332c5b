package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Batch;
import org.acaciaport.pool.ClockReading;

/**
 * Appends what a term decides to the log in the background, one batch at a time, with the heartbeats of the term.
 *
 * <p>Confined to the thread of the term. Invariant: {@link #takeDurable} returns a batch only once all its records are
 * durable, in the order in which the batches were passed on.
 */
final class TermWriter {
    private final LeaderRecord self;
    private final LeaderLogWriter logWriter;
    private final ProgressEncoder progressEncoder = new ProgressEncoder();
    private final Threads threads;
    private final Consumer<String> end;
    private final Consumer<String> rejectedKey;
    private final TermLoad load;
    private final Function<ClockReading, List<KeyedRecord>> heartbeatRecords;

    /** Records for the next append that belong to no batch. */
    private final List<KeyedRecord> pending = new ArrayList<>();

    /** What to do once the records for the next append are durable. */
    private final List<Runnable> pendingActions = new ArrayList<>();

    /** Batches whose records are durable. */
    private final List<Batch> durable = new ArrayList<>();

    /** The jobs with a record of their service. */
    private final Set<String> movedJobs = new HashSet<>();

    private boolean appendInFlight;
    private boolean resigning;
    private long lastHeartbeatNanos;

    /**
     * Where work is done.
     *
     * @param background runs appends, which block
     * @param term runs their results on the thread of the term
     */
    record Threads(Executor background, Executor term) {}

    /**
     * Creates a writer.
     *
     * @param end ends the term, with the reason
     * @param rejectedKey called with the key of a record that the log never takes
     * @param heartbeatRecords returns the records to write with a heartbeat
     */
    TermWriter(
            LeaderRecord self,
            LeaderLogWriter logWriter,
            Threads threads,
            Consumer<String> end,
            Consumer<String> rejectedKey,
            TermLoad load,
            Function<ClockReading, List<KeyedRecord>> heartbeatRecords) {
        this.self = self;
        this.logWriter = logWriter;
        this.threads = threads;
        this.end = end;
        this.rejectedKey = rejectedKey;
        this.load = load;
        this.heartbeatRecords = heartbeatRecords;
    }

    /** Sets the progress of a job that the log already has. */
    void restore(JobEntry entry) {
        progressEncoder.restore(entry.progress(), entry.tasksEmbedded());
    }

    /** Adds a record of the service of a job that the log already has. */
    void restore(ServiceRecord service) {
        movedJobs.add(service.job());
    }

    /** Writes the service of a job with the next append. */
    void write(ServiceRecord service) {
        movedJobs.add(service.job());
        pending.add(JobRecords.encode(service));
    }

    /** Removes the records of an ended job with the next append. */
    void remove(String id) {
        // The job first: without its progress, a successor would run it again.
        pending.add(KeyedRecord.tombstone(JobRecords.JOB_PREFIX + id));
        pending.add(KeyedRecord.tombstone(JobRecords.CANCEL_PREFIX + id));
        pending.addAll(progressEncoder.remove(id));
        if (movedJobs.remove(id)) {
            pending.add(KeyedRecord.tombstone(JobRecords.SERVICE_PREFIX + id));
        }
    }

    /** Writes a record with the next append; runs {@code onDurable} on the thread of the term once it is durable. */
    void write(KeyedRecord record, Runnable onDurable) {
        pending.add(record);
        pendingActions.add(onDurable);
    }

    /** Makes the next append a resignation, which is due at once. */
    void resign() {
        resigning = true;
        lastHeartbeatNanos -= Term.HEARTBEAT_INTERVAL_MILLIS * Clocks.NANOS_PER_MILLI;
    }

    boolean isResigning() {
        return resigning;
    }

    /** Returns whether the last append is done, so that {@link #append} may be called. */
    boolean isIdle() {
        return !appendInFlight;
    }

    /** Appends the records of {@code batch} if there are any or a heartbeat is due; the writer must be idle. */
    void append(Batch batch, ClockReading now) {
        boolean heartbeatDue = now.millisSince(lastHeartbeatNanos) >= Term.HEARTBEAT_INTERVAL_MILLIS;
        if (batch.records().isEmpty() && pending.isEmpty() && !heartbeatDue) {
            durable.add(batch);
            return;
        }
        List<KeyedRecord> records = new ArrayList<>(pending);
        pending.clear();
        List<Runnable> actions = List.copyOf(pendingActions);
        pendingActions.clear();
        batch.records().forEach(progress -> records.addAll(progressEncoder.encode(progress)));
        if (heartbeatDue || resigning) {
            lastHeartbeatNanos = now.monotonicNanos();
            records.add(JobRecords.encode(new LeaderRecord(self.node(), self.startedMillis(), resigning)));
            records.addAll(resigning ? List.of() : heartbeatRecords.apply(now));
        }
        appendInFlight = true;
        boolean resignation = resigning;
        Runnable append = () -> {
            LeaderLogWriter.Result result = logWriter.append(records);
            threads.term().execute(() -> {
                load.recordAppend(now.monotonicNanos());
                if (result instanceof LeaderLogWriter.Result.Durable) {
                    actions.forEach(Runnable::run);
                }
                handleResult(result, resignation, batch);
            });
        };
        // Whether the records were appended is not known; the next term reads the log.
        threads.background()
                .execute(() -> BackgroundTasks.run("append", append, reason -> end.accept("append failed: " + reason)));
    }

    /** Ends the term if the log rejected the append or it was a resignation. */
    private void handleResult(LeaderLogWriter.Result result, boolean resignation, Batch batch) {
        appendInFlight = false;
        switch (result) {
            case LeaderLogWriter.Result.Durable written when resignation -> end.accept("resigned");
            case LeaderLogWriter.Result.Durable written -> durable.add(batch);
            case LeaderLogWriter.Result.Ended other -> end.accept("deposed by a later term in the log");
            case LeaderLogWriter.Result.Rejected rejected -> {
                rejectedKey.accept(rejected.key());
                end.accept("the log rejects the record " + rejected.key() + ": " + rejected.reason());
            }
        }
    }

    /** Returns and clears the batches whose records have become durable. */
    List<Batch> takeDurable() {
        List<Batch> taken = List.copyOf(durable);
        durable.clear();
        return taken;
    }
}
