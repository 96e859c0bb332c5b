package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.RunEnds;

/**
 * Encodes the progress of jobs as records: one for the job, one for each of its tasks, and one for the ends of a task's
 * runs if they matter. Of these, only the ones that changed since they were last encoded are returned, so the bytes
 * written for a change do not grow with the size of the job.
 *
 * <p>Not thread-safe; confined to the thread of the term. Invariant: applied in order, all records encoded so far and
 * those that the encoder was created with amount to the progress that was encoded last.
 */
final class ProgressEncoder {
    private final Map<String, JobProgress> encoded = new HashMap<>();

    /** Jobs whose record in the log embeds the progress of their tasks, as earlier builds wrote it. */
    private final Set<String> embedded = new HashSet<>();

    /**
     * Sets the progress of a job that the log already has.
     *
     * @param tasksEmbedded whether the record of the job embeds the progress of its tasks; with the next change, all of
     *     it is encoded in records of tasks
     */
    void restore(JobProgress progress, boolean tasksEmbedded) {
        encoded.put(progress.id(), progress);
        if (tasksEmbedded) {
            embedded.add(progress.id());
        }
    }

    /**
     * Returns the records that change the progress in the log to {@code progress}. Applied up to any of them, they
     * amount to a progress that is true, if not the latest: the record of the job comes before the deletions of tasks
     * whose end it states, and after the records of tasks that it embedded.
     */
    List<KeyedRecord> encode(JobProgress progress) {
        JobProgress previous = encoded.put(progress.id(), progress);
        boolean wasEmbedded = embedded.remove(progress.id());
        JobProgress header = progress.withoutTasks();
        boolean headerChanged = wasEmbedded || previous == null || !header.equals(previous.withoutTasks());
        List<KeyedRecord> records = new ArrayList<>();
        if (headerChanged && !wasEmbedded) {
            records.add(JobRecords.encode(header));
        }
        Map<String, JobProgress.Task> removed = previous == null ? new HashMap<>() : tasksByKey(previous);
        tasksByKey(progress).forEach((key, task) -> {
            JobProgress.Task before = removed.remove(key);
            if (!task.equals(before) || wasEmbedded) {
                addEnds(records, key, before, task);
                records.add(JobRecords.encode(key, task));
            }
        });
        if (wasEmbedded) {
            records.add(JobRecords.encode(header));
        }
        removed.forEach((key, task) -> addTombstones(records, key, task));
        return records;
    }

    /** Adds the record of the ends, which comes before that of the task: a run without a report is not forgotten. */
    private static void addEnds(List<KeyedRecord> records, String key, JobProgress.Task before, JobProgress.Task task) {
        if (!task.ends().equals(RunEnds.NONE)) {
            records.add(JobRecords.encodeEnds(key, task.ends()));
        } else if (before != null && !before.ends().equals(RunEnds.NONE)) {
            records.add(KeyedRecord.tombstone(JobRecords.endsKey(key)));
        }
    }

    private static void addTombstones(List<KeyedRecord> records, String key, JobProgress.Task task) {
        records.add(KeyedRecord.tombstone(key));
        if (!task.ends().equals(RunEnds.NONE)) {
            records.add(KeyedRecord.tombstone(JobRecords.endsKey(key)));
        }
    }

    /** Returns the records that remove the progress of a job from the log, and forgets the job. */
    List<KeyedRecord> remove(String id) {
        List<KeyedRecord> records = new ArrayList<>();
        JobProgress progress = encoded.remove(id);
        embedded.remove(id);
        records.add(KeyedRecord.tombstone(JobRecords.PROGRESS_PREFIX + id));
        if (progress != null) {
            tasksByKey(progress).forEach((key, task) -> addTombstones(records, key, task));
        }
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
