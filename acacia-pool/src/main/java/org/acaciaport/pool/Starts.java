package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Starts work whose promised room is free, gangs whole.
 *
 * <p>Made anew for each pass; for the pool's thread only.
 */
final class Starts {
    private final PlacementPass.Parts parts;
    private final Placement placement;
    private final ClockReading now;

    Starts(PlacementPass.Parts parts, Placement placement, ClockReading now) {
        this.parts = parts;
        this.placement = placement;
        this.now = now;
    }

    /** Starts every unit that has all the room it was promised. */
    void run(Collection<JobRun> jobs) {
        for (JobRun job : jobs) {
            if (job.state.isTerminal()) {
                continue;
            }
            for (List<StepRun> steps : job.open()) {
                for (StepRun step : steps) {
                    startAssigned(step);
                }
            }
        }
    }

    private void startAssigned(StepRun step) {
        List<TaskRun> assigned =
                step.tasks.stream().filter(task -> task.phase == Phase.ASSIGNED).toList();
        if (assigned.isEmpty()) {
            return;
        }
        if (!step.spec.mode().gang()) {
            for (TaskRun task : assigned) {
                start(new Unit(step, List.of(task)));
            }
        } else if (assigned.size() == step.tasks.size()) {
            start(new Unit(step, assigned));
        } else {
            assigned.forEach(parts.ends()::unassign);
        }
    }

    private void start(Unit unit) {
        Map<TargetRun, Resources> room = new HashMap<>();
        boolean enough = true;
        for (TaskRun task : unit.tasks()) {
            if (!placement.allowed(unit, task.target, now.monotonicNanos())) {
                unit.tasks().forEach(parts.ends()::unassign);
                return;
            }
            Resources left =
                    room.getOrDefault(task.target, task.target.freeNow()).minus(task.demand());
            room.put(task.target, left);
            enough &= Resources.NONE.fitsIn(left);
        }
        if (!enough) {
            giveUpWaiting(unit);
            return;
        }
        int run = 0;
        for (TaskRun task : unit.tasks()) {
            run = Math.max(run, task.lastRun + 1);
        }
        for (TaskRun task : unit.tasks()) {
            task.lastRun = run;
            task.incarnation = task.target.incarnation;
            task.target.put(task, Phase.STARTING);
            parts.outbox().start(task);
        }
        if (unit.step().job.state == JobState.QUEUED) {
            unit.step().job.state = JobState.RUNNING;
        }
    }

    /** A unit of the highest priority whose room does not come free chooses anew. */
    private void giveUpWaiting(Unit unit) {
        if (unit.priority() != 0 || now.monotonicNanos() - unit.step().promiseEndsNanos < 0) {
            return;
        }
        for (TaskRun task : unit.tasks()) {
            if (task.target.occupants.values().stream().anyMatch(other -> other.phase == Phase.STOPPING)) {
                return;
            }
        }
        unit.tasks().forEach(parts.ends()::unassign);
    }
}
