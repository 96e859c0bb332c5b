package org.acaciaport.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The tasks that are placed together: all tasks of a gang, or a single task.
 *
 * <p>Immutable.
 *
 * @param step step that the tasks belong to
 * @param tasks tasks to place
 */
record PlacementUnit(StepExecution step, List<TaskExecution> tasks) {
    /** Time after which a task that lasts runs again wherever there is room, in nanoseconds. */
    private static final long MAX_LASTING_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(4);

    Job job() {
        return step.job.spec;
    }

    int priority() {
        return job().terms().priority();
    }

    Resources demand() {
        return step.spec.chargedResources();
    }

    /** Returns the resources of all tasks that count against the limit of the account. */
    Resources fullDemand() {
        return Resources.sumOf(step.spec.demand(), tasks.size());
    }

    int size() {
        return tasks.size();
    }

    /** Returns whether all tasks are in {@code phase}. */
    boolean isIn(Phase phase) {
        for (TaskExecution task : tasks) {
            if (task.phase != phase) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the unit may use targets on which work has failed. A task that lasts may fail at any time by its
     * own fault, and must run again soon.
     */
    boolean acceptsSuspectedTargets(long nowNanos) {
        return step.spec.mode().lasting() && nanosWithoutRun(nowNanos) >= MAX_LASTING_PAUSE_NANOS;
    }

    /** Returns for how long the unit has been ready without a run, in nanoseconds. */
    private long nanosWithoutRun(long nowNanos) {
        long shortest = nowNanos - step.readyNanos;
        for (TaskExecution task : tasks) {
            shortest = task.runEndedNanos == 0 ? shortest : Math.min(shortest, nowNanos - task.runEndedNanos);
        }
        return step.readyNanos == 0 ? 0 : shortest;
    }

    /** Returns whether runs of the unit have failed so often that one more failure ends its job. */
    boolean isLastAttempt() {
        int failures = tasks.get(0).failedRuns.size();
        return failures > 0 && failures + 1 >= job().terms().attempts();
    }

    /** Returns the targets of the tasks, in their order. */
    List<TargetState> targets() {
        return tasks.stream().map(task -> task.target).toList();
    }

    /** Returns whether the resources reserved for the tasks are free, so that they could start. */
    boolean areReservedResourcesFree() {
        Map<TargetState, Resources> free = new HashMap<>();
        for (TaskExecution task : tasks) {
            Resources remaining =
                    free.getOrDefault(task.target, task.target.freeNow()).minus(task.demand());
            if (!Resources.NONE.fitsIn(remaining)) {
                return false;
            }
            free.put(task.target, remaining);
        }
        return true;
    }
}
