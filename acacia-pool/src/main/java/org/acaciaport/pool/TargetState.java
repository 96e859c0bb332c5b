package org.acaciaport.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One target with the work on it.
 *
 * <p>Mutable, for the pool's thread only. {@code occupants} holds the tasks in phases ASSIGNED, STARTING, RUNNING and
 * STOPPING whose {@code target} is this one.
 */
final class TargetState {
    final String id;

    /** The newest registration; null before the first. */
    TargetInfo info;

    /** Whether the registration is there now. */
    boolean registered;

    /** Life that the occupants belong to; 0 before it is known. */
    long incarnation;

    /** Room taken by runs that are there without being any task's newest run. */
    Resources strayDemand = Resources.NONE;

    /** Until when no new work goes there, on the steady clock, in nanoseconds. */
    long excludedUntilNanos;

    /** Failures in a row, each of another job. */
    int failureScore;

    /** The job that failed there last. */
    String lastFailedJob = "";

    final Map<TaskId, TaskExecution> tasks = new LinkedHashMap<>();

    private Resources used = Resources.NONE;
    private Resources stopping = Resources.NONE;
    private Resources reserved = Resources.NONE;

    TargetState(String id) {
        this.id = id;
    }

    String rack() {
        return info == null ? "" : info.rack();
    }

    /** Returns the room that is free now. */
    Resources freeNow() {
        return capacity().minus(used).minus(strayDemand);
    }

    /** Returns the room that will be free once the stops have worked and the promised runs are there. */
    Resources projectedFree() {
        return freeNow().plus(stopping).minus(reserved);
    }

    Resources capacity() {
        return info == null ? Resources.NONE : info.capacity();
    }

    /** Puts {@code task} here in {@code phase}, or moves it to another phase. */
    void put(TaskExecution task, Phase phase) {
        if (task.target == this) {
            adjustUsage(task, -1);
        }
        task.target = this;
        task.phase = phase;
        tasks.put(task.id, task);
        adjustUsage(task, 1);
    }

    /** Takes {@code task} off and leaves it in {@code phase}. */
    void remove(TaskExecution task, Phase phase) {
        adjustUsage(task, -1);
        tasks.remove(task.id);
        task.target = null;
        task.phase = phase;
    }

    private void adjustUsage(TaskExecution task, int sign) {
        Resources demand = task.demand();
        if (task.phase == Phase.RESERVED) {
            reserved = add(reserved, demand, sign);
            return;
        }
        used = add(used, demand, sign);
        if (task.phase == Phase.STOPPING) {
            stopping = add(stopping, demand, sign);
        }
    }

    private static Resources add(Resources sum, Resources demand, int sign) {
        return sign > 0 ? sum.plus(demand) : sum.minus(demand);
    }
}
