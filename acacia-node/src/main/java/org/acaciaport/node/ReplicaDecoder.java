package org.acaciaport.node;

import java.io.IOException;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.RunEnds;

/** Decodes the records of the log that change nothing but the contents of a {@link Replica}. */
final class ReplicaDecoder {
    private ReplicaDecoder() {}

    /**
     * Applies a record; one of an unknown key changes nothing.
     *
     * @param earlier the records before the snapshot that is being read; null if none is being read
     * @throws IOException if the record is malformed
     */
    static void apply(KeyedRecord record, long offset, ReplicaContents contents, ReplicaContents earlier)
            throws IOException {
        String key = record.key();
        if (key.startsWith(JobRecords.PROGRESS_PREFIX)) {
            String id = key.substring(JobRecords.PROGRESS_PREFIX.length());
            contents.putProgress(id, JobRecords.isTombstone(record) ? null : JobRecords.decodeProgress(record));
        } else if (key.startsWith(JobRecords.TASK_PREFIX)) {
            TaskRecord task = JobRecords.decodeValue(record, TaskRecord.class);
            contents.putTask(JobRecords.jobOfTaskKey(key), key, task == null ? null : task.toTask());
        } else if (key.startsWith(JobRecords.ENDS_PREFIX)) {
            String taskKey = JobRecords.taskKeyOfEnds(key);
            contents.putEnds(JobRecords.jobOfTaskKey(taskKey), taskKey, JobRecords.decodeValue(record, RunEnds.class));
        } else if (key.startsWith(JobRecords.SERVICE_PREFIX)) {
            String id = key.substring(JobRecords.SERVICE_PREFIX.length());
            contents.put(id, contents.entry(id).with(JobRecords.decodeValue(record, ServiceRecord.class)));
        } else if (key.startsWith(JobRecords.LEASE_PREFIX)) {
            String target = key.substring(JobRecords.LEASE_PREFIX.length());
            contents.putLease(target, JobRecords.decodeValue(record, LeaseRecord.class), offset, earlier);
        } else if (key.startsWith(JobRecords.NODE_PREFIX) && !JobRecords.isTombstone(record)) {
            NodeRecord node = JobRecords.decode(record, NodeRecord.class);
            contents.nodes.put(node.name(), node);
        } else if (key.equals(JobRecords.ESTIMATES_KEY)) {
            contents.estimates = checkedEstimates(record);
        } else if (key.equals(JobRecords.DECLARED_DURATIONS_KEY) && !JobRecords.isTombstone(record)) {
            contents.declaredDurations = JobRecords.decode(record, DeclaredDurationsRecord.class);
        }
    }

    /** Returns the newest estimates as they are, null if deleted; only a leader decodes them. */
    private static KeyedRecord checkedEstimates(KeyedRecord record) throws IOException {
        if (record.value().length > JobRecords.MAX_ESTIMATES_BYTES) {
            throw new IOException("the estimates have " + record.value().length + " bytes");
        }
        return JobRecords.isTombstone(record) ? null : record;
    }
}
