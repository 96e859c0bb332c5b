package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses which work to stop so that a unit fits, losing as little work as it finds.
 *
 * <p>Greedy, not optimal: takes the victim with the least loss for the room it frees, then spares those that turn out
 * to be needless. A gang is stopped whole. For the pool's thread only.
 */
final class PreemptionPlanner {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Work between two checkpoints that a stop loses at most, in seconds. */
    private static final double MAX_CHECKPOINTED_LOSS_SECONDS = 0.5;

    /** Usual time until stopped work runs again, in seconds. */
    private static final double PREEMPTION_DELAY_SECONDS = 1.5;

    /** How many times dearer than other work it is to stop work of the highest priority. */
    private static final int URGENT_WEIGHT = 5;

    /** Keeps a victim that has only begun from counting as free, in core-seconds. */
    private static final double MIN_LOSS_CORE_SECONDS = 1.0;

    /** What room on a target that does not yet suffice for a task counts for, against a whole place. */
    private static final double PARTIAL_SLOT_GAIN = 0.1;

    private final PlacementUnit unit;
    private final List<TargetState> targets;
    private final CostModel costModel;
    private final ClockReading now;
    private final Map<TargetState, Resources> freed = new HashMap<>();
    private final Set<Victim> chosen = new LinkedHashSet<>();

    private PreemptionPlanner(PlacementUnit unit, List<TargetState> targets, CostModel costModel, ClockReading now) {
        this.unit = unit;
        this.targets = targets;
        this.costModel = costModel;
        this.now = now;
    }

    /** What makes a victim dear. */
    enum CostModel {
        /** Work that a stop loses. */
        LOST_WORK,
        /** Time until it ends by itself. */
        REMAINING_TIME
    }

    /**
     * What to stop and where the unit then goes.
     *
     * @param targets a target for each task
     * @param victims tasks to stop or to unassign
     * @param cost work that is lost, in core-seconds, or the time until the last one ends, in seconds
     */
    record Plan(List<TargetState> targets, List<TaskExecution> victims, double cost) {}

    /** A gang or a single task that may be stopped. */
    private record Victim(List<TaskExecution> tasks, double cost) {}

    /** Returns the choice among {@code scope}, or null if stopping all that is allowed is not enough. */
    static Plan find(
            PlacementUnit unit,
            List<TargetState> targets,
            Predicate<TaskExecution> allowed,
            CostModel costModel,
            ClockReading now) {
        return new PreemptionPlanner(unit, targets, costModel, now).search(allowed);
    }

    private Plan search(Predicate<TaskExecution> allowed) {
        List<Victim> candidates = candidates(allowed);
        if (!sufficesIfAllStopped(candidates)) {
            return null;
        }
        while (selectTargets() == null) {
            Victim best = bestCandidate(candidates);
            if (best == null) {
                return null;
            }
            candidates.remove(best);
            apply(best, 1);
        }
        removeRedundantVictims();
        List<TaskExecution> victims = new ArrayList<>();
        double cost = 0;
        for (Victim victim : chosen) {
            victims.addAll(victim.tasks);
            cost = costModel == CostModel.LOST_WORK ? cost + victim.cost : Math.max(cost, victim.cost);
        }
        return new Plan(selectTargets(), victims, cost);
    }

    private boolean sufficesIfAllStopped(List<Victim> candidates) {
        candidates.forEach(victim -> apply(victim, 1));
        boolean enough = selectTargets() != null;
        candidates.forEach(victim -> apply(victim, -1));
        return enough;
    }

    private List<TargetState> selectTargets() {
        return Placement.selectTargets(unit, targets, this::freeAfterStops);
    }

    private Resources freeAfterStops(TargetState target) {
        return target.projectedFree().plus(freed.getOrDefault(target, Resources.NONE));
    }

    private List<Victim> candidates(Predicate<TaskExecution> allowed) {
        List<Victim> candidates = new ArrayList<>();
        Set<StepExecution> gangs = new HashSet<>();
        for (TargetState target : targets) {
            for (TaskExecution task : target.tasks.values()) {
                if (task.phase == Phase.STOPPING || !allowed.test(task)) {
                    continue;
                }
                if (!task.step.spec.mode().gang()) {
                    candidates.add(createVictim(List.of(task)));
                } else if (gangs.add(task.step)) {
                    candidates.add(createVictim(placedTasks(task.step)));
                }
            }
        }
        return candidates;
    }

    private static List<TaskExecution> placedTasks(StepExecution step) {
        return step.tasks.stream().filter(task -> task.target != null).toList();
    }

    private Victim createVictim(List<TaskExecution> tasks) {
        double cost = costModel == CostModel.LOST_WORK ? MIN_LOSS_CORE_SECONDS : 0;
        for (TaskExecution task : tasks) {
            if (task.phase != Phase.RUNNING) {
                continue;
            }
            double runSeconds = now.secondsSince(task.confirmedNanos);
            cost = switch (costModel) {
                case LOST_WORK -> cost + lostCoreSeconds(task, runSeconds);
                case REMAINING_TIME -> Math.max(cost, task.remainingSeconds(now));
            };
        }
        return new Victim(tasks, cost);
    }

    private double lostCoreSeconds(TaskExecution task, double runSeconds) {
        boolean checkpoints = task.step.spec.mode().checkpoint();
        double lostSeconds = checkpoints ? Math.min(runSeconds, MAX_CHECKPOINTED_LOSS_SECONDS) : runSeconds;
        double costSeconds = lostSeconds + delayCostSeconds(task, runSeconds);
        return task.demand().coreEquivalents() * costSeconds * costMultiplier(task);
    }

    /** Returns how dear the loss of a task's work is; urgent work has little to spare, so a stop makes it late. */
    private static int costMultiplier(TaskExecution task) {
        int weight = task.job().terms().priority() == 0 ? URGENT_WEIGHT : 1;
        return weight * (1 + task.step.preemptionCount);
    }

    /** Returns what the delay of a stop costs: most for a job that would still be in time without it. */
    private double delayCostSeconds(TaskExecution task, double runSeconds) {
        double slackSeconds = task.step.slackMillis(now) / MILLIS_PER_SECOND + runSeconds;
        if (slackSeconds < 0) {
            return 0;
        }
        return slackSeconds < PREEMPTION_DELAY_SECONDS
                ? PREEMPTION_DELAY_SECONDS
                : PREEMPTION_DELAY_SECONDS * PREEMPTION_DELAY_SECONDS / slackSeconds;
    }

    private Victim bestCandidate(List<Victim> candidates) {
        Victim best = null;
        double bestScore = Double.MAX_VALUE;
        for (Victim victim : candidates) {
            double gain = slotGain(victim);
            if (gain > 0 && victim.cost / gain < bestScore) {
                best = victim;
                bestScore = victim.cost / gain;
            }
        }
        return best;
    }

    private double slotGain(Victim victim) {
        Set<TargetState> affected = new HashSet<>();
        victim.tasks.forEach(task -> affected.add(task.target));
        affected.retainAll(targets);
        int before = 0;
        for (TargetState target : affected) {
            before += Placement.slots(unit, target, freeAfterStops(target));
        }
        apply(victim, 1);
        int after = 0;
        for (TargetState target : affected) {
            after += Placement.slots(unit, target, freeAfterStops(target));
        }
        apply(victim, -1);
        double partial = 0;
        for (TaskExecution task : victim.tasks) {
            if (affected.contains(task.target)) {
                partial += task.demand().coreEquivalents()
                        / Math.max(1, unit.demand().coreEquivalents());
            }
        }
        return after - before + PARTIAL_SLOT_GAIN * partial;
    }

    private void apply(Victim victim, int sign) {
        for (TaskExecution task : victim.tasks) {
            Resources demand = task.demand();
            freed.merge(
                    task.target, sign > 0 ? demand : Resources.NONE.minus(demand), (sum, change) -> sum.plus(change));
        }
        if (sign > 0) {
            chosen.add(victim);
        } else {
            chosen.remove(victim);
        }
    }

    private void removeRedundantVictims() {
        List<Victim> byCost = new ArrayList<>(chosen);
        byCost.sort((one, other) -> Double.compare(other.cost, one.cost));
        for (Victim victim : byCost) {
            apply(victim, -1);
            if (selectTargets() == null) {
                apply(victim, 1);
            }
        }
    }
}
