package org.acaciaport.pool;

import java.util.Collection;
import java.util.List;

/**
 * Starts reserved units once the reserved resources are free. A gang starts as a whole.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class UnitStarter {
    private final PlacementPass.Context context;
    private final Placement placement;
    private final AccountLimits limits;
    private final ClockReading now;

    UnitStarter(PlacementPass.Context context, Placement placement, AccountLimits limits, ClockReading now) {
        this.context = context;
        this.placement = placement;
        this.limits = limits;
        this.now = now;
    }

    /**
     * Starts every unit whose reserved resources are all free and whose account stays within its limit. Units of
     * accounts with a limit go first, since what one of them starts may keep out another.
     *
     * @param units units that were waiting or reserved when the pass began, in scheduling order
     */
    void startReserved(List<PlacementUnit> units, Collection<JobExecution> jobs) {
        for (PlacementUnit unit : units) {
            if (limits.apply(unit) && unit.isIn(Phase.RESERVED)) {
                start(unit);
            }
        }
        for (JobExecution job : jobs) {
            if (job.state.isTerminal()) {
                continue;
            }
            for (List<StepExecution> steps : job.openOccurrences()) {
                for (StepExecution step : steps) {
                    startReservedUnits(step);
                }
            }
        }
    }

    private void startReservedUnits(StepExecution step) {
        List<TaskExecution> reserved =
                step.tasks.stream().filter(task -> task.phase == Phase.RESERVED).toList();
        if (reserved.isEmpty()) {
            return;
        }
        if (!step.spec.mode().gang()) {
            for (TaskExecution task : reserved) {
                start(new PlacementUnit(step, List.of(task)));
            }
        } else if (reserved.size() == step.tasks.size()) {
            start(new PlacementUnit(step, reserved));
        } else {
            reserved.forEach(context.taskLifecycle()::cancelReservation);
        }
    }

    private void start(PlacementUnit unit) {
        if (!unit.step().hasAttemptLeft()) {
            unit.tasks().forEach(context.taskLifecycle()::cancelReservation);
            return;
        }
        for (TaskExecution task : unit.tasks()) {
            if (!placement.isEligible(unit, task.target, now.monotonicNanos())) {
                unit.tasks().forEach(context.taskLifecycle()::cancelReservation);
                return;
            }
        }
        if (!unit.areReservedResourcesFree()) {
            cancelExpiredReservation(unit);
            return;
        }
        if (!limits.mayStart(unit)) {
            if (!limits.mayHold(unit)) {
                unit.step().limitHoldExpired = unit.priority() == 0;
                unit.tasks().forEach(context.taskLifecycle()::cancelReservation);
            }
            return;
        }
        unit.step().limitHoldExpired &= hasFurtherUnits(unit);
        double slowest = Double.MAX_VALUE;
        int run = 0;
        for (TaskExecution task : unit.tasks()) {
            run = Math.max(run, task.lastRun + 1);
            slowest = Math.min(slowest, task.target.speed);
        }
        for (TaskExecution task : unit.tasks()) {
            task.lastRun = run;
            task.incarnation = task.target.incarnation;
            task.expectedSeconds = context.estimates().seconds(unit.step()) / slowest;
            task.target.put(task, Phase.STARTING);
            context.outbox().addStart(task);
        }
    }

    /** Returns whether other units of the step of {@code unit} have no run yet. */
    private static boolean hasFurtherUnits(PlacementUnit unit) {
        return unit.step().tasks.stream()
                .anyMatch(task ->
                        !unit.tasks().contains(task) && (task.phase == Phase.WAITING || task.phase == Phase.RESERVED));
    }

    /** Cancels an expired reservation of a unit of the highest priority, so that the next pass chooses anew. */
    private void cancelExpiredReservation(PlacementUnit unit) {
        if (unit.priority() != 0 || now.monotonicNanos() - unit.tasks().get(0).reservationExpiresNanos < 0) {
            return;
        }
        for (TaskExecution task : unit.tasks()) {
            if (task.target.tasks.values().stream().anyMatch(other -> other.phase == Phase.STOPPING)) {
                return;
            }
        }
        unit.tasks().forEach(context.taskLifecycle()::cancelReservation);
    }
}
