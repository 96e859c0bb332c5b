package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the units that a pass may start, in scheduling order: those that wait, and those with reserved resources.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class WaitingUnits {
    private final AccountDemand accountDemand;
    private final ClockReading now;

    WaitingUnits(AccountDemand accountDemand, ClockReading now) {
        this.accountDemand = accountDemand;
        this.now = now;
    }

    /** Returns the units of {@code jobs} in scheduling order; opens the occurrences that are due. */
    List<PlacementUnit> collect(Collection<JobExecution> jobs) {
        List<PlacementUnit> units = new ArrayList<>();
        for (JobExecution job : jobs) {
            if (!job.state.isTerminal()) {
                collect(job, units);
            }
        }
        units.sort(schedulingOrder());
        return units;
    }

    private Comparator<PlacementUnit> schedulingOrder() {
        return Comparator.comparingInt(PlacementUnit::priority)
                .thenComparing(unit -> unit.priority() == 0
                        && !accountDemand.isWithinGuarantee(unit.job().account()))
                .thenComparing(unit -> unit.step().deadlineStatus(now))
                .thenComparingLong(unit -> unit.step().slackMillis(now))
                .thenComparing(unit -> unit.job().id());
    }

    private void collect(JobExecution job, List<PlacementUnit> units) {
        job.openDueOccurrences(now.wallClockMillis());
        for (List<StepExecution> steps : job.openOccurrences()) {
            for (StepExecution step : steps) {
                if (step.isDone() || !step.isReady(steps)) {
                    continue;
                }
                if (step.readyNanos == 0) {
                    step.readyNanos = now.monotonicNanos();
                    step.nextSearchNanos = now.monotonicNanos();
                }
                collect(step, units);
            }
        }
    }

    /** Adds the single tasks without a run, or the gang if none of its tasks has one. */
    private static void collect(StepExecution step, List<PlacementUnit> units) {
        if (!step.spec.mode().gang()) {
            for (TaskExecution task : step.tasks) {
                if (task.phase == Phase.WAITING || task.phase == Phase.RESERVED) {
                    units.add(new PlacementUnit(step, List.of(task)));
                }
            }
            return;
        }
        PlacementUnit gang = new PlacementUnit(step, step.tasks);
        if (gang.isIn(Phase.WAITING) || gang.isIn(Phase.RESERVED)) {
            units.add(gang);
        }
    }
}
