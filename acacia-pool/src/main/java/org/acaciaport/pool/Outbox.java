package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Collects what the pool wants done until it is taken.
 *
 * <p>Mutable, for the pool's thread only. Starts and acknowledgements leave only in a batch with the records that cover
 * them; stops need no record.
 */
final class Outbox {
    private final Set<JobRun> changed = new LinkedHashSet<>();
    private final List<TargetCommand.Start> starts = new ArrayList<>();
    private final Map<String, Batch.Acknowledgement> acknowledgements = new HashMap<>();
    private final List<TargetCommand.Stop> stops = new ArrayList<>();

    void changed(JobRun job) {
        changed.add(job);
    }

    void start(TaskRun task) {
        changed(task.step.job);
        starts.add(new TargetCommand.Start(
                task.target.id,
                task.incarnation,
                task.id,
                task.lastRun,
                task.job().payload(),
                task.saved));
    }

    void stop(String target, long incarnation, TaskId task, int run) {
        stops.add(new TargetCommand.Stop(target, incarnation, task, run));
    }

    void acknowledge(String target, long incarnation, long upTo) {
        acknowledgements.put(target, new Batch.Acknowledgement(incarnation, upTo));
    }

    Batch takeBatch() {
        List<JobProgress> records = new ArrayList<>();
        for (JobRun job : changed) {
            records.add(job.progress());
        }
        Batch batch = new Batch(records, starts, acknowledgements);
        changed.clear();
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
