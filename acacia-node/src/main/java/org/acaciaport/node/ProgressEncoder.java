package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.JobProgress;

/**
 * Encodes the progress of jobs as records: one for the job and one for each of its tasks, and of these only the ones
 * that changed since they were last encoded. So the bytes written for a change do not grow with the size of the job.
 *
 * <p>Not thread-safe; confined to the thread of the term. Invariant: applied in order, all records encoded so far and
 * those that the encoder was created with amount to the progress that was encoded last.
 */
final class ProgressEncoder {
    private final Map<String, JobProgress> encoded = new HashMap<>();

    /** Jobs of which it is not known in which records the log has their progress. */
    private final Set<String> restored = new HashSet<>();

    /**
     * Sets the progress of a job that the log already has, in records of tasks or, from an earlier build, in that of
     * the job. All of it is encoded once more with the next change.
     */
    void restore(JobProgress progress) {
        restored.add(progress.id());
        encoded.put(progress.id(), progress);
    }

    /** Returns the records that change the progress in the log to {@code progress}. */
    List<KeyedRecord> encode(JobProgress progress) {
        JobProgress previous = encoded.put(progress.id(), progress);
        List<KeyedRecord> records = new ArrayList<>();
        boolean complete = previous == null || restored.remove(progress.id());
        Map<String, JobProgress.Task> removed = previous == null ? new HashMap<>() : tasksByKey(previous);
        tasksByKey(progress).forEach((key, task) -> {
            if (!task.equals(removed.remove(key)) || complete) {
                records.add(JobRecords.encode(key, task));
            }
        });
        removed.keySet().forEach(key -> records.add(KeyedRecord.tombstone(key)));
        JobProgress header = progress.withoutTasks();
        if (complete || !header.equals(previous.withoutTasks())) {
            records.add(JobRecords.encode(header));
        }
        return records;
    }

    /** Returns the records that remove the progress of a job from the log, and forgets the job. */
    List<KeyedRecord> remove(String id) {
        List<KeyedRecord> records = new ArrayList<>();
        JobProgress progress = encoded.remove(id);
        restored.remove(id);
        if (progress != null) {
            tasksByKey(progress).keySet().forEach(key -> records.add(KeyedRecord.tombstone(key)));
        }
        records.add(KeyedRecord.tombstone(JobRecords.PROGRESS_PREFIX + id));
        return records;
    }

    private static Map<String, JobProgress.Task> tasksByKey(JobProgress progress) {
        Map<String, JobProgress.Task> tasks = new HashMap<>();
        for (JobProgress.Task task : progress.tasks()) {
            tasks.put(JobRecords.taskKey(progress.id(), task), task);
        }
        return tasks;
    }
}
