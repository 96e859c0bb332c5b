package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The execution state of one job.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool. Each occurrence is either in
 * {@code openOccurrences}, in {@code doneOccurrences}, or not yet due.
 */
final class JobExecution {
    /** Largest number of tasks of the open occurrences of a recurring job; they are held in memory. */
    private static final int MAX_OPEN_TASKS = 100_000;

    /** The job, with the service that runs its tasks now; only {@link QueueServices} replaces it. */
    Job spec;

    final Objective objective;
    final Set<Integer> doneOccurrences = new TreeSet<>();
    private final long tasksPerOccurrence;

    /** Lowest number of an occurrence that was not yet opened for being due; a restore opens some beyond it. */
    private int nextOccurrence;

    private final TreeMap<Integer, List<StepExecution>> openOccurrences = new TreeMap<>();

    /** The state that callers are told: queued until a target has confirmed a run. */
    JobState state = JobState.QUEUED;

    long endedMillis;

    /** Monotonic clock reading when the pool got the job, in nanoseconds; the job was accepted before. */
    long receivedNanos;

    /** Whether nothing of the job may start, as the service of its queue is not certain. */
    boolean awaitsService;

    JobExecution(Job spec, RunEstimates estimates) {
        this.spec = spec;
        objective = Objective.of(spec, number -> estimates.seconds(spec, number));
        tasksPerOccurrence = spec.steps().stream().mapToLong(Step::count).sum();
    }

    /** Returns the steps of an occurrence, and opens the occurrence if it is not open. */
    List<StepExecution> occurrence(int number) {
        return openOccurrences.computeIfAbsent(number, k -> {
            List<StepExecution> steps = new ArrayList<>();
            for (int i = 0; i < spec.steps().size(); i++) {
                steps.add(new StepExecution(this, k, i));
            }
            return steps;
        });
    }

    /** Returns the steps of each open occurrence. */
    Collection<List<StepExecution>> openOccurrences() {
        return openOccurrences.values();
    }

    /** Returns the numbers of the open occurrences. */
    List<Integer> openOccurrenceNumbers() {
        return List.copyOf(openOccurrences.keySet());
    }

    /** Returns the task, or null if its occurrence is not open or has no such task. */
    TaskExecution task(TaskId id) {
        List<StepExecution> steps = openOccurrences.get(id.occurrence());
        if (steps == null || id.step() < 0 || id.step() >= steps.size()) {
            return null;
        }
        List<TaskExecution> tasks = steps.get(id.step()).tasks;
        return id.index() < 0 || id.index() >= tasks.size() ? null : tasks.get(id.index());
    }

    /**
     * Opens the occurrences that are due by {@code nowMillis}, in milliseconds since the Unix epoch. Beyond
     * {@value #MAX_OPEN_TASKS} tasks, they open as earlier ones end.
     */
    void openDueOccurrences(long nowMillis) {
        while (nextOccurrence < spec.occurrenceCount()
                && spec.isDue(nextOccurrence, nowMillis)
                && hasRoomForOccurrence()) {
            if (!doneOccurrences.contains(nextOccurrence)) {
                occurrence(nextOccurrence);
            }
            nextOccurrence++;
        }
    }

    private boolean hasRoomForOccurrence() {
        return openOccurrences.isEmpty() || (openOccurrences.size() + 1L) * tasksPerOccurrence <= MAX_OPEN_TASKS;
    }

    /** Marks an open occurrence as done, and ends the job if it was the last one. */
    void closeOccurrence(int occurrence, long nowMillis) {
        openOccurrences.remove(occurrence);
        doneOccurrences.add(occurrence);
        if (doneOccurrences.size() == spec.occurrenceCount()) {
            end(JobState.DONE, nowMillis);
        }
    }

    /**
     * Records that a target has confirmed a run of the job, so that the job counts as begun.
     *
     * @return whether it did not before
     */
    boolean begin() {
        if (state != JobState.QUEUED) {
            return false;
        }
        state = JobState.RUNNING;
        return true;
    }

    void end(JobState finalState, long nowMillis) {
        state = finalState;
        endedMillis = nowMillis;
    }

    /** Returns whether the job ended before {@code millis}, on the wall clock, and has no run any more. */
    boolean hasEndedBefore(long millis) {
        return state.isTerminal()
                && endedMillis < millis
                && tasks().stream().noneMatch(task -> task.phase.mayOccupyTarget());
    }

    /** Returns all tasks of the open occurrences. */
    List<TaskExecution> tasks() {
        List<TaskExecution> all = new ArrayList<>();
        for (List<StepExecution> steps : openOccurrences.values()) {
            for (StepExecution step : steps) {
                all.addAll(step.tasks);
            }
        }
        return all;
    }

    /** Returns the record to persist for this job. */
    JobProgress progress() {
        List<JobProgress.Task> tasks = new ArrayList<>();
        for (TaskExecution task : tasks()) {
            if (task.lastRun == 0) {
                continue;
            }
            boolean placed = task.phase.mayOccupyTarget();
            tasks.add(new JobProgress.Task(
                    task.id.occurrence(),
                    task.id.step(),
                    task.id.index(),
                    task.lastRun,
                    task.failedRuns.size(),
                    task.phase == Phase.DONE,
                    placed ? task.target.id : "",
                    placed ? task.incarnation : 0,
                    task.phase == Phase.DONE ? "" : task.checkpoint,
                    task.ends()));
        }
        boolean ended = state.isTerminal();
        return new JobProgress(
                spec.id(),
                state,
                endedMillis,
                ended ? List.of() : List.copyOf(doneOccurrences),
                tasksToPersist(tasks, ended));
    }

    /** Filters the tasks to persist: for an ended job, only those with a run that may still be active. */
    private static List<JobProgress.Task> tasksToPersist(List<JobProgress.Task> tasks, boolean ended) {
        if (!ended) {
            return tasks;
        }
        return tasks.stream().filter(task -> !task.target().isEmpty()).toList();
    }
}
