package org.acaciaport.node;

import java.io.IOException;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.acaciaport.admission.AdmissionPolicy;
import org.acaciaport.admission.Outlook;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.AccountTerms;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobState;
import org.jboss.logging.Logger;

/**
 * This node's copy of the scheduler's own records in the log: jobs, nodes and the leader.
 *
 * <p>Thread-safe. A snapshot of the log replaces the earlier records as a whole once it is complete; until then, the
 * earlier ones are shown. Only a listener hears of new jobs and cancellations while a snapshot is being read.
 */
final class Replica implements TopicConsumer.Sink {
    private static final Logger LOG = Logger.getLogger(Replica.class);

    /** Receives jobs and cancellations as they arrive, under the replica's lock. Implementations must not block. */
    interface Listener {
        /** Called with each job that the replica did not have. */
        void submitted(Job job);

        /** Called with each cancellation, and again after its job if it was read before the job. */
        void cancelled(CancelRecord cancel);
    }

    /**
     * The latest leader record.
     *
     * @param record the record
     * @param receivedNanos when it or a later record that only leaders write was received, on the monotonic clock, in
     *     nanoseconds
     */
    record Leader(LeaderRecord record, long receivedNanos) {}

    /**
     * A leader that another one has followed.
     *
     * @param record its latest record
     * @param sinceNanos when its first record was received at the latest, on the monotonic clock, in nanoseconds;
     *     leaders before it have written nothing later
     */
    record FormerLeader(LeaderRecord record, long sinceNanos) {}

    /** The records read so far: all of them, or a part of the snapshot that is being read. */
    private ReplicaContents contents = new ReplicaContents();

    /** The records before the snapshot that is being read; null if none is being read, or if it is the first. */
    private ReplicaContents earlier;

    private Listener listener;
    private ClockReading asOf;

    /** Jobs that no term of this node gets, since the log rejected one of their records. */
    private final Set<String> setAside = new HashSet<>();

    @Override
    public synchronized void reset() {
        if (earlier == null && asOf != null) {
            earlier = contents;
        }
        contents = new ReplicaContents();
    }

    /** Returns the records to show: those before the snapshot while one is being read. */
    private ReplicaContents shown() {
        return earlier == null ? contents : earlier;
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        contents.nextOffset = offset + 1;
        if (JobRecords.isOfLeader(record.key())) {
            contents.recordLeaderWrite(offset);
        }
        try {
            applyRecord(record, offset);
        } catch (IOException e) {
            LOG.errorf("log: key=%s offset=%s outcome=skipped reason=%s", record.key(), offset, e.getMessage());
        }
    }

    @Override
    public synchronized void caughtUp(ClockReading asOf, long nextOffset) {
        if (this.asOf == null || asOf.monotonicNanos() - this.asOf.monotonicNanos() > 0) {
            this.asOf = asOf;
        }
        contents.nextOffset = nextOffset;
        earlier = null;
    }

    private void applyRecord(KeyedRecord record, long offset) throws IOException {
        String key = record.key();
        if (key.startsWith(JobRecords.JOB_PREFIX)) {
            applyJob(key.substring(JobRecords.JOB_PREFIX.length()), JobRecords.decodeValue(record, Job.class));
        } else if (key.startsWith(JobRecords.CANCEL_PREFIX)) {
            String id = key.substring(JobRecords.CANCEL_PREFIX.length());
            applyCancel(id, JobRecords.decodeValue(record, CancelRecord.class));
        } else if (key.equals(JobRecords.LEADER_KEY) && !JobRecords.isTombstone(record)) {
            applyLeader(JobRecords.decode(record, LeaderRecord.class));
        } else if (key.equals(JobRecords.OUTLOOK_KEY) && !JobRecords.isTombstone(record)) {
            applyOutlook(JobRecords.decodeOutlook(record));
        } else {
            ReplicaDecoder.apply(record, offset, contents, earlier);
        }
    }

    /** Sets the leader; the outlook of another one is not valid any more. A snapshot has its records in no order. */
    private void applyLeader(LeaderRecord leader) {
        boolean another = contents.leader != null && !contents.leader.record().isOfProcessOf(leader);
        if (!isReadingSnapshot() && (another || leader.resigned())) {
            contents.outlook = null;
        }
        contents.setLeader(leader);
    }

    private boolean isReadingSnapshot() {
        return earlier != null || asOf == null;
    }

    /** Sets the outlook. When one of a snapshot was written is not known, so it counts only if it has no waits. */
    private void applyOutlook(Outlook outlook) {
        if (!isReadingSnapshot()) {
            contents.outlook = new ReplicaContents.ReceivedOutlook(outlook, asOf);
        } else if (outlook.isEmpty()) {
            contents.outlook = new ReplicaContents.ReceivedOutlook(outlook, null);
        }
    }

    /** Returns the newest record of what a leader has learned, if there is one. */
    synchronized Optional<KeyedRecord> estimates() {
        return Optional.ofNullable(shown().estimates);
    }

    /**
     * Returns what this node knows of the wait. The age counts from before the outlook was written, or from the latest
     * sign of the leader if there was no wait, and is at least that of the replica.
     */
    synchronized AdmissionPolicy.Knowledge knowledge() {
        return OutlookKnowledge.of(shown().leader, shown().outlook, asOf);
    }

    /** Returns how much longer than declared the steps of each queue take, in percent of the declared durations. */
    synchronized Map<String, Integer> declaredDurationPercents() {
        return shown().declaredDurations.percents();
    }

    /** Adds or, for null, removes a job. A repeated submission leaves the first in place. */
    private void applyJob(String id, Job job) throws IOException {
        if (job != null && !job.id().equals(id)) {
            throw new IOException("the record is that of another job");
        }
        JobEntry entry = contents.entry(id);
        if (job != null && entry.job() != null) {
            return;
        }
        contents.put(id, entry.with(job));
        if (job != null && listener != null && !hadJob(id)) {
            listener.submitted(job);
            if (entry.cancel() != null) {
                listener.cancelled(entry.cancel());
            }
        }
    }

    /** Returns whether the replica had the job before the snapshot that is being read. */
    private boolean hadJob(String id) {
        return earlier != null && earlier.entry(id).job() != null;
    }

    private void applyCancel(String id, CancelRecord cancel) {
        contents.put(id, contents.entry(id).with(cancel));
        if (cancel != null && listener != null) {
            listener.cancelled(cancel);
        }
    }

    /**
     * Returns when the last record that a leader before the term {@code epoch} wrote was received at the latest, on the
     * monotonic clock, in nanoseconds. The replica must have read on beyond the claim of that term.
     */
    synchronized long lastLeaderWriteNanos(long epoch) {
        return shown().lastLeaderWriteNanos(epoch);
    }

    /** Returns when all leases have expired of the targets whose leases run out, on the monotonic clock. */
    synchronized Map<String, Long> leaseEndNanos() {
        return shown().leaseEndNanos();
    }

    /** Returns a job with its progress and cancellation, or null if the replica has no such job. */
    synchronized JobEntry find(String id) {
        JobEntry entry = shown().entry(id);
        return entry.job() == null ? null : entry;
    }

    /**
     * Returns the latest moment at which the replica is known to have been complete; null if the records have not been
     * read completely yet.
     */
    synchronized ClockReading asOf() {
        return asOf;
    }

    /** Returns the latest leader record, or null if there is none. */
    synchronized Leader leader() {
        return shown().leader;
    }

    /**
     * Returns the leader of another process before the latest one; empty if the records read so far do not show it.
     * Between the two, the process of the latest one may have had several terms.
     */
    synchronized Optional<FormerLeader> formerLeader() {
        return Optional.ofNullable(shown().formerLeader);
    }

    /** Returns the offset of the next record of the log. */
    synchronized long nextOffset() {
        return shown().nextOffset;
    }

    synchronized Collection<NodeRecord> nodes() {
        return List.copyOf(shown().nodes.values());
    }

    /** Returns the accelerators that the unfinished jobs of priority 0 of an account with {@code terms} need. */
    synchronized long urgentAccelerators(String account, AccountTerms terms) {
        return shown().urgentDemand.accelerators(account, terms);
    }

    /** Returns how many jobs of {@code queue} have no started task. */
    synchronized long countPending(String queue) {
        long pending = 0;
        for (JobEntry entry : shown().entries()) {
            if (entry.job() != null && entry.job().queue().equals(queue) && entry.state() == JobState.QUEUED) {
                pending++;
            }
        }
        return pending;
    }

    /**
     * Returns all jobs with the progress of their tasks, and passes every later job and cancellation to
     * {@code listener}.
     */
    synchronized List<JobEntry> attach(Listener listener) {
        this.listener = listener;
        Map<String, JobEntry> all = contents.entriesWithTasks();
        if (earlier != null) {
            earlier.entriesWithTasks().forEach((id, entry) -> all.merge(id, entry, Replica::addCancellation));
        }
        all.keySet().removeAll(setAside);
        return List.copyOf(all.values());
    }

    /**
     * Keeps a job from later terms of this node, each of which would end when the log rejects the record again.
     *
     * @param key key of the rejected record
     */
    synchronized void setAside(String key) {
        JobRecords.jobOfKey(key).ifPresent(id -> {
            setAside.add(id);
            LOG.errorf("lead: request=%s outcome=set-aside reason=the log rejects its record %s", id, key);
        });
    }

    /** Returns {@code entry} with the cancellation of {@code read}, which a part of a snapshot contains, if any. */
    private static JobEntry addCancellation(JobEntry read, JobEntry entry) {
        return read.cancel() == null ? entry : entry.with(read.cancel());
    }

    /** Removes the listener. */
    synchronized void detach() {
        listener = null;
    }
}
