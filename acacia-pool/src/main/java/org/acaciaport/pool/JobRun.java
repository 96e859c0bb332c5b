package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One job as the pool sees it.
 *
 * <p>Mutable, for the pool's thread only. An occurrence is either in {@code open} or in {@code doneOccurrences}, or has
 * not come due.
 */
final class JobRun {
    final Job job;
    final Objective objective;
    final Set<Integer> doneOccurrences = new TreeSet<>();
    private final TreeMap<Integer, List<StepRun>> open = new TreeMap<>();
    JobState state = JobState.QUEUED;
    long endedMillis;

    JobRun(Job job) {
        this.job = job;
        objective = Objective.of(job);
    }

    /** Returns the steps of an occurrence, begun now if it was not. */
    List<StepRun> occurrence(int number) {
        return open.computeIfAbsent(number, k -> {
            List<StepRun> steps = new ArrayList<>();
            for (int i = 0; i < job.steps().size(); i++) {
                steps.add(new StepRun(this, k, i));
            }
            return steps;
        });
    }

    /** Returns the begun occurrences that are not done. */
    Collection<List<StepRun>> open() {
        return open.values();
    }

    /** Returns the task, or null if the job has no such task or its occurrence is done or not begun. */
    TaskRun task(TaskId id) {
        List<StepRun> steps = open.get(id.occurrence());
        if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
            return null;
        }
        List<TaskRun> tasks = steps.get(id.step()).tasks;
        return id.index() < 0 || id.index() >= tasks.size() ? null : tasks.get(id.index());
    }

    /** Begins the occurrences that are due by {@code nowMillis}. */
    void beginDue(long nowMillis) {
        int next = 0;
        if (!open.isEmpty()) {
            next = open.lastKey() + 1;
        }
        for (int done : doneOccurrences) {
            next = Math.max(next, done + 1);
        }
        while (next < job.occurrenceCount() && job.dueMillis(next) <= nowMillis) {
            occurrence(next);
            next++;
        }
    }

    /** Moves an occurrence of which every step is done, and ends the job with the last one. */
    void close(int occurrence, long nowMillis) {
        open.remove(occurrence);
        doneOccurrences.add(occurrence);
        if (doneOccurrences.size() == job.occurrenceCount()) {
            end(JobState.DONE, nowMillis);
        }
    }

    void end(JobState how, long nowMillis) {
        state = how;
        endedMillis = nowMillis;
    }

    /** Returns every task of the begun occurrences. */
    List<TaskRun> tasks() {
        List<TaskRun> all = new ArrayList<>();
        for (List<StepRun> steps : open.values()) {
            for (StepRun step : steps) {
                all.addAll(step.tasks);
            }
        }
        return all;
    }

    /** Returns the durable record of this job. */
    JobProgress progress() {
        List<JobProgress.Task> tasks = new ArrayList<>();
        for (TaskRun task : tasks()) {
            if (task.lastRun == 0) {
                continue;
            }
            boolean placed = task.phase.occupies();
            tasks.add(new JobProgress.Task(
                    task.id.occurrence(),
                    task.id.step(),
                    task.id.index(),
                    task.lastRun,
                    task.failures,
                    task.phase == Phase.DONE,
                    placed ? task.target.id : "",
                    placed ? task.incarnation : 0,
                    task.phase == Phase.DONE ? "" : task.saved));
        }
        boolean ended = state.isTerminal();
        return new JobProgress(
                job.id(), state, endedMillis, ended ? List.of() : List.copyOf(doneOccurrences), keep(tasks, ended));
    }

    /** A job that has ended needs only the runs that may still be there. */
    private static List<JobProgress.Task> keep(List<JobProgress.Task> tasks, boolean ended) {
        if (!ended) {
            return tasks;
        }
        return tasks.stream().filter(task -> !task.target().isEmpty()).toList();
    }
}
