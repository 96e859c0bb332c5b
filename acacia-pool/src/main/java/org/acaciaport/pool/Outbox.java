package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects the records to persist and the commands to send until the caller takes them.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool. Starts and acknowledgements are released only in
 * a batch with the records that cover them; stops need no record.
 */
final class Outbox {
    private final Set<JobExecution> changedJobs = new LinkedHashSet<>();
    private final List<TargetCommand.Start> starts = new ArrayList<>();
    private final Map<String, Batch.Acknowledgement> acknowledgements = new HashMap<>();
    private final List<TargetCommand.Stop> stops = new ArrayList<>();

    void markChanged(JobExecution job) {
        changedJobs.add(job);
    }

    void addStart(TaskExecution task) {
        markChanged(task.step.job);
        starts.add(new TargetCommand.Start(
                task.target.id,
                task.incarnation,
                task.id,
                task.lastRun,
                task.job().payload(),
                task.checkpoint));
    }

    void addStop(String target, long incarnation, TaskId task, int run) {
        stops.add(new TargetCommand.Stop(target, incarnation, task, run));
    }

    void addAcknowledgement(String target, long incarnation, long upTo) {
        acknowledgements.put(target, new Batch.Acknowledgement(incarnation, upTo));
    }

    Batch takeBatch() {
        List<JobProgress> records = new ArrayList<>();
        for (JobExecution job : changedJobs) {
            records.add(job.progress());
        }
        Batch batch = new Batch(records, starts, acknowledgements);
        changedJobs.clear();
        starts.clear();
        acknowledgements.clear();
        return batch;
    }

    List<TargetCommand.Stop> takeStops() {
        List<TargetCommand.Stop> taken = List.copyOf(stops);
        stops.clear();
        return taken;
    }
}
