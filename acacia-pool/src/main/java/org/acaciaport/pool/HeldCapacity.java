package org.acaciaport.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The free resources that are reserved for gangs which cannot start yet. A gang that needs most of the targets that it
 * can use would otherwise keep all of them idle while it waits for one.
 *
 * <p>Only gangs below the highest priority, and not above that of the taker, give way. Not thread-safe; confined to the
 * thread of the pool.
 *
 * @param taker unit that may take the resources
 */
record HeldCapacity(PlacementUnit taker) {
    /** Returns the resources of {@code target} that are free now, and not reserved but for gangs that yield. */
    Resources available(TargetState target) {
        Resources sum = target.freeAtOnce();
        for (TaskExecution task : target.tasks.values()) {
            if (yields(task)) {
                sum = sum.plus(task.demand());
            }
        }
        return sum;
    }

    /** Cancels the reservations of the gangs that yield on {@code taken}. */
    void release(List<TargetState> taken, TaskLifecycle taskLifecycle) {
        Set<StepExecution> yielding = new HashSet<>();
        for (TargetState target : taken) {
            target.tasks.values().stream().filter(this::yields).forEach(task -> yielding.add(task.step));
        }
        yielding.forEach(step -> step.tasks.forEach(taskLifecycle::cancelReservation));
    }

    private boolean yields(TaskExecution task) {
        int priority = task.job().terms().priority();
        if (task.phase != Phase.RESERVED
                || !task.step.spec.mode().gang()
                || task.step == taker.step()
                || priority == 0
                || priority < taker.priority()) {
            return false;
        }
        PlacementUnit gang = new PlacementUnit(task.step, task.step.tasks);
        return gang.isIn(Phase.RESERVED) && !gang.areReservedResourcesFree();
    }
}
