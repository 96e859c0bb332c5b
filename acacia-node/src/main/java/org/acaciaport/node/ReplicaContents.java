package org.acaciaport.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.admission.Outlook;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.RunEnds;

/**
 * The scheduler's own records up to one offset of the log.
 *
 * <p>Mutable and not thread-safe; guarded by the lock of its {@link Replica}.
 */
final class ReplicaContents {
    private final Map<String, JobEntry> jobs = new LinkedHashMap<>();

    /** The progress of tasks, by job and by the key of its record. Kept beside the jobs, as it changes most often. */
    private final Map<String, Map<String, JobProgress.Task>> tasks = new HashMap<>();

    /** What is known of the ends of the runs of tasks, by job and by the key of the record of the task. */
    private final Map<String, Map<String, RunEnds>> ends = new HashMap<>();

    /** The demand of the unfinished jobs of priority 0. */
    final UrgentDemand urgentDemand = new UrgentDemand();

    /** The nodes by name. */
    final Map<String, NodeRecord> nodes = new HashMap<>();

    /** The latest leader record; null if there is none. */
    Replica.Leader leader;

    /** When the first record of that leader was received at the latest, on the monotonic clock, in nanoseconds. */
    private long leaderSinceNanos;

    /** The leader of another process before it, whatever its terms; null if no record of it has been read. */
    Replica.FormerLeader formerLeader;

    /** The latest outlook of that leader; null if there is none. */
    ReceivedOutlook outlook;

    /** The newest record of what a leader has learned, not decoded; null if there is none. */
    KeyedRecord estimates;

    /** The latest record of how far declared durations are off. */
    DeclaredDurationsRecord declaredDurations = DeclaredDurationsRecord.NONE;

    /** Offset of the next record of the log. */
    long nextOffset;

    /** The records of targets whose leases run out, by target. */
    private final Map<String, ReceivedLease> leases = new HashMap<>();

    /** Offset of the last record that a leader wrote; -1 before the first. */
    private long lastWriteOffset = -1;

    /** When that record was received, on the monotonic clock, in nanoseconds. */
    private long lastWriteNanos = System.nanoTime();

    /** When the last record that a leader wrote before it was received at the latest, on the same clock. */
    private long earlierWriteNanos = System.nanoTime();

    /**
     * A record of a target whose leases run out.
     *
     * @param record the record
     * @param offset its offset
     * @param receivedNanos when it was first received, on the monotonic clock, in nanoseconds
     */
    record ReceivedLease(LeaseRecord record, long offset, long receivedNanos) {
        long endNanos() {
            return receivedNanos + record.remainingMillis() * Clocks.NANOS_PER_MILLI;
        }
    }

    /**
     * An outlook of the leader.
     *
     * @param outlook the outlook
     * @param notBefore a moment before it was written: when the records read so far were last known to be complete;
     *     null for one of a snapshot
     */
    record ReceivedOutlook(Outlook outlook, ClockReading notBefore) {}

    /** Sets the latest leader record. */
    void setLeader(LeaderRecord record) {
        long now = System.nanoTime();
        if (leader == null || !leader.record().isOfProcessOf(record)) {
            formerLeader = leader == null ? null : new Replica.FormerLeader(leader.record(), leaderSinceNanos);
            leaderSinceNanos = now;
        }
        leader = new Replica.Leader(record, now);
    }

    /** Records that a record which only leaders write is received now; a snapshot has them in no order. */
    void recordLeaderWrite(long offset) {
        long now = System.nanoTime();
        earlierWriteNanos = offset > lastWriteOffset ? lastWriteNanos : now;
        if (offset > lastWriteOffset) {
            lastWriteOffset = offset;
            lastWriteNanos = now;
        }
        if (leader != null) {
            leader = new Replica.Leader(leader.record(), now);
        }
    }

    /**
     * Returns when the last record that a leader before the term {@code epoch} wrote was received at the latest, on the
     * monotonic clock, in nanoseconds. Its claim, at the offset {@code epoch}, is the only record of that term so far.
     */
    long lastLeaderWriteNanos(long epoch) {
        return lastWriteOffset == epoch ? earlierWriteNanos : lastWriteNanos;
    }

    /**
     * Sets or, for null, removes the record of a target whose leases run out.
     *
     * @param earlier the records before the snapshot that is being read, which may have the same record; null if none
     *     is being read
     */
    void putLease(String target, LeaseRecord lease, long offset, ReplicaContents earlier) {
        if (lease == null) {
            leases.remove(target);
            return;
        }
        ReceivedLease known = earlier == null ? null : earlier.leases.get(target);
        boolean received = known != null && known.offset() == offset;
        leases.put(target, received ? known : new ReceivedLease(lease, offset, System.nanoTime()));
    }

    /** Returns when all leases have expired of the targets whose leases run out, on the monotonic clock. */
    Map<String, Long> leaseEndNanos() {
        Map<String, Long> ends = new HashMap<>();
        leases.forEach((target, received) -> ends.put(target, received.endNanos()));
        return ends;
    }

    /** Returns what is known of a job, without the progress of its tasks; {@link JobEntry#NONE} if nothing is. */
    JobEntry entry(String id) {
        return jobs.getOrDefault(id, JobEntry.NONE);
    }

    /** Returns what is known of each job, without the progress of its tasks. */
    Collection<JobEntry> entries() {
        return jobs.values();
    }

    /** Returns what is known of each job, by id. */
    Map<String, JobEntry> entriesWithTasks() {
        Map<String, JobEntry> entries = new LinkedHashMap<>();
        jobs.forEach((id, entry) -> entries.put(id, entry.withTasks(tasksWithEnds(id))));
        return entries;
    }

    private List<JobProgress.Task> tasksWithEnds(String id) {
        Map<String, RunEnds> known = ends.getOrDefault(id, Map.of());
        List<JobProgress.Task> complete = new ArrayList<>();
        tasks.getOrDefault(id, Map.of())
                .forEach((key, task) -> complete.add(task.withEnds(known.getOrDefault(key, RunEnds.NONE))));
        return complete;
    }

    /** Sets what is known of a job, apart from the progress of its tasks. */
    void put(String id, JobEntry entry) {
        urgentDemand.update(entry(id), entry);
        if (entry.isEmpty()) {
            jobs.remove(id);
        } else {
            jobs.put(id, entry);
        }
    }

    /**
     * Sets or, for null, removes the progress of a job. Builds that wrote no records of tasks wrote their progress with
     * that of the job.
     */
    void putProgress(String id, JobProgress progress) {
        boolean embedsTasks = progress != null && !progress.tasks().isEmpty();
        JobEntry entry = entry(id).with(progress == null ? null : progress.withoutTasks());
        put(id, entry.withTasksEmbedded(embedsTasks));
        if (progress != null) {
            progress.tasks().forEach(task -> putTask(id, JobRecords.taskKey(id, task), task));
        }
    }

    /** Sets or, for null, removes the progress of a task of job {@code id}. */
    void putTask(String id, String key, JobProgress.Task task) {
        put(tasks, id, key, task);
    }

    /** Sets or, for null, removes what is known of the ends of a task of job {@code id}. */
    void putEnds(String id, String key, RunEnds known) {
        put(ends, id, key, known);
    }

    private static <T> void put(Map<String, Map<String, T>> valuesByJob, String id, String key, T value) {
        if (value != null) {
            valuesByJob.computeIfAbsent(id, job -> new HashMap<>()).put(key, value);
            return;
        }
        Map<String, T> remaining = valuesByJob.getOrDefault(id, new HashMap<>());
        remaining.remove(key);
        if (remaining.isEmpty()) {
            valuesByJob.remove(id);
        }
    }
}
