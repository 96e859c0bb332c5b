package org.acaciaport.pool;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One target with the work on it.
 *
 * <p>Mutable, for the pool's thread only. {@code occupants} holds the tasks in phases ASSIGNED, STARTING, RUNNING and
 * STOPPING whose {@code target} is this one.
 */
final class TargetRun {
    final String id;

    /** The newest registration; null before the first. */
    TargetInfo info;

    /** Whether the registration is there now. */
    boolean registered;

    /** Life that the occupants belong to; 0 before it is known. */
    long incarnation;

    /** Room taken by runs that are there without being any task's newest run. */
    Resources strays = Resources.NONE;

    /** Until when no new work goes there, on the steady clock, in nanoseconds. */
    long avoidUntilNanos;

    /** Failures in a row, each of another job. */
    int strikes;

    /** The job that failed there last. */
    String lastFailed = "";

    final Map<TaskId, TaskRun> occupants = new LinkedHashMap<>();

    private Resources present = Resources.NONE;
    private Resources leaving = Resources.NONE;
    private Resources promised = Resources.NONE;

    TargetRun(String id) {
        this.id = id;
    }

    String rack() {
        return info == null ? "" : info.rack();
    }

    /** Returns the room that is free now. */
    Resources freeNow() {
        return capacity().minus(present).minus(strays);
    }

    /** Returns the room that will be free once the stops have worked and the promised runs are there. */
    Resources freeSoon() {
        return freeNow().plus(leaving).minus(promised);
    }

    Resources capacity() {
        return info == null ? Resources.NONE : info.capacity();
    }

    /** Puts {@code task} here in {@code phase}, or moves it to another phase. */
    void put(TaskRun task, Phase phase) {
        if (task.target == this) {
            count(task, -1);
        }
        task.target = this;
        task.phase = phase;
        occupants.put(task.id, task);
        count(task, 1);
    }

    /** Takes {@code task} off and leaves it in {@code phase}. */
    void remove(TaskRun task, Phase phase) {
        count(task, -1);
        occupants.remove(task.id);
        task.target = null;
        task.phase = phase;
    }

    private void count(TaskRun task, int sign) {
        Resources demand = task.demand();
        if (task.phase == Phase.ASSIGNED) {
            promised = add(promised, demand, sign);
            return;
        }
        present = add(present, demand, sign);
        if (task.phase == Phase.STOPPING) {
            leaving = add(leaving, demand, sign);
        }
    }

    private static Resources add(Resources sum, Resources demand, int sign) {
        return sign > 0 ? sum.plus(demand) : sum.minus(demand);
    }
}
