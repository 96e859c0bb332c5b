package org.acaciaport.node;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.JobState;
import org.jboss.logging.Logger;

/**
 * This node's copy of the product's own records.
 *
 * <p>Safe for use by several threads. {@code asOf} is a moment at which the copy was complete, null after a reset.
 */
final class Replica implements TopicConsumer.Sink {
    private static final Logger LOG = Logger.getLogger(Replica.class);

    /** Takes jobs and cancellings as they arrive. Called under the replica's lock; must not block. */
    interface Listener {
        /** Takes a job that was not there before. */
        void submitted(Job job);

        /** Takes a cancelling. */
        void cancelled(CancelRecord cancel);
    }

    /**
     * The leader's newest record.
     *
     * @param record what it says
     * @param heardNanos when it arrived here, on the steady clock, in nanoseconds
     */
    record Leader(LeaderRecord record, long heardNanos) {}

    private final Map<String, JobEntry> jobs = new LinkedHashMap<>();
    private final Map<String, NodeRecord> nodes = new HashMap<>();
    private Leader leader;
    private Listener listener;
    private ClockReading asOf;
    private long next;

    @Override
    public synchronized void reset() {
        jobs.clear();
        nodes.clear();
        leader = null;
        asOf = null;
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        try {
            take(record);
        } catch (IOException e) {
            LOG.errorf("log: key=%s offset=%s outcome=skipped reason=%s", record.key(), offset, e.getMessage());
        }
        next = offset + 1;
    }

    @Override
    public synchronized void caughtUp(ClockReading moment, long end) {
        asOf = moment;
        next = end;
    }

    private void take(KeyedRecord record) throws IOException {
        String key = record.key();
        if (key.startsWith(JobRecords.JOB)) {
            job(key.substring(JobRecords.JOB.length()), read(record, Job.class));
        } else if (key.startsWith(JobRecords.PROGRESS)) {
            String id = key.substring(JobRecords.PROGRESS.length());
            update(id, entry(id).with(read(record, JobProgress.class)));
        } else if (key.startsWith(JobRecords.CANCEL)) {
            cancel(key.substring(JobRecords.CANCEL.length()), read(record, CancelRecord.class));
        } else if (key.startsWith(JobRecords.NODE) && !gone(record)) {
            NodeRecord node = JobRecords.read(record, NodeRecord.class);
            nodes.put(node.name(), node);
        } else if (key.equals(JobRecords.LEADER) && !gone(record)) {
            leader = new Leader(JobRecords.read(record, LeaderRecord.class), System.nanoTime());
        }
    }

    private void job(String id, Job job) {
        JobEntry entry = entry(id);
        if (job != null && entry.job() != null) {
            return;
        }
        update(id, entry.with(job));
        if (job != null && listener != null) {
            listener.submitted(job);
        }
    }

    private void cancel(String id, CancelRecord cancel) {
        update(id, entry(id).with(cancel));
        if (cancel != null && listener != null) {
            listener.cancelled(cancel);
        }
    }

    /** Returns what the record says, or null if it drops its key. */
    private static <T> T read(KeyedRecord record, Class<T> type) throws IOException {
        return gone(record) ? null : JobRecords.read(record, type);
    }

    private static boolean gone(KeyedRecord record) {
        return record.value().length == 0;
    }

    private JobEntry entry(String id) {
        return jobs.getOrDefault(id, JobEntry.NONE);
    }

    private void update(String id, JobEntry entry) {
        if (entry.isEmpty()) {
            jobs.remove(id);
        } else {
            jobs.put(id, entry);
        }
    }

    /** Returns what the log says of a job, or null if the copy has no such job. */
    synchronized JobEntry find(String id) {
        JobEntry entry = jobs.get(id);
        return entry == null || entry.job() == null ? null : entry;
    }

    /** Returns a moment at which the copy was complete, or null if it never was. */
    synchronized ClockReading asOf() {
        return asOf;
    }

    synchronized Leader leader() {
        return leader;
    }

    /** Returns the offset of the next record. */
    synchronized long next() {
        return next;
    }

    synchronized Collection<NodeRecord> nodes() {
        return List.copyOf(nodes.values());
    }

    /** Returns how many jobs of {@code queue} have no started task. */
    synchronized long countPending(String queue) {
        long pending = 0;
        for (JobEntry entry : jobs.values()) {
            if (entry.job() != null && entry.job().queue().equals(queue) && entry.state() == JobState.QUEUED) {
                pending++;
            }
        }
        return pending;
    }

    /** Returns all jobs, and hands every later record to {@code listener}. */
    synchronized List<JobEntry> attach(Listener listener) {
        this.listener = listener;
        return new ArrayList<>(jobs.values());
    }

    synchronized void detach() {
        listener = null;
    }
}
