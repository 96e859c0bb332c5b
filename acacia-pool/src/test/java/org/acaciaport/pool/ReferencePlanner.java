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
 * A straightforward implementation of the search of {@link PreemptionPlanner}, which evaluates every candidate anew for
 * each choice. Tests compare the results of both.
 */
final class ReferencePlanner {
    /** Gain of freed resources in proportion to the demand of one task, relative to the gain of a whole slot. */
    private static final double PARTIAL_SLOT_GAIN = 0.1;

    private final PlacementUnit unit;
    private final List<TargetState> targets;
    private final PreemptionPlanner.CostModel costModel;
    private final ClockReading now;
    private final Map<TargetState, Resources> freed = new HashMap<>();
    private final Set<Victim> chosen = new LinkedHashSet<>();

    /** Number of tasks of the unit that fit on each target after the chosen victims have ended. */
    private final Map<TargetState, Integer> slots = new HashMap<>();

    /** The sum of {@code slots}. */
    private int totalSlots;

    private ReferencePlanner(
            PlacementUnit unit, List<TargetState> targets, PreemptionPlanner.CostModel costModel, ClockReading now) {
        this.unit = unit;
        this.targets = targets;
        this.costModel = costModel;
        this.now = now;
    }

    /** A gang or a single task that may make room, with its targets and its cost. Equal only to itself. */
    private static final class Victim {
        final List<TaskExecution> tasks;
        final Set<TargetState> targets = new HashSet<>();
        final double cost;

        Victim(List<TaskExecution> tasks, double cost) {
            this.tasks = tasks;
            this.cost = cost;
            tasks.forEach(task -> targets.add(task.target));
        }
    }

    /**
     * Returns a plan that places {@code unit} on {@code targets}, or null if there is none.
     *
     * @param targets targets to choose from
     * @param allowed tests whether a task may be a victim
     * @param costModel measure of the costs to keep low
     */
    static PreemptionPlanner.Plan find(
            PlacementUnit unit,
            List<TargetState> targets,
            Predicate<TaskExecution> allowed,
            PreemptionPlanner.CostModel costModel,
            ClockReading now) {
        return new ReferencePlanner(unit, targets, costModel, now).search(allowed);
    }

    private PreemptionPlanner.Plan search(Predicate<TaskExecution> allowed) {
        List<Victim> candidates = candidates(allowed);
        targets.forEach(this::updateSlots);
        if (!sufficesIfAllStopped(candidates)) {
            return null;
        }
        while (totalSlots < unit.size()) {
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
            cost = costModel == PreemptionPlanner.CostModel.LOST_WORK
                    ? cost + victim.cost
                    : Math.max(cost, victim.cost);
        }
        return new PreemptionPlanner.Plan(Placement.selectTargets(unit, targets, this::freeAfterStops), victims, cost);
    }

    /** Returns whether the unit would fit if all candidates ended. */
    private boolean sufficesIfAllStopped(List<Victim> candidates) {
        candidates.forEach(victim -> apply(victim, 1));
        boolean enough = totalSlots >= unit.size();
        candidates.forEach(victim -> apply(victim, -1));
        return enough;
    }

    /** Counts the slots of {@code target} anew, if it is one of the targets to choose from. */
    private void updateSlots(TargetState target) {
        int count = Placement.countSlots(unit, target, freeAfterStops(target));
        Integer before = slots.put(target, count);
        totalSlots += count - (before == null ? 0 : before);
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
        double cost = costModel == PreemptionPlanner.CostModel.LOST_WORK
                ? VictimCost.lostCoreSeconds(tasks, now)
                : VictimCost.remainingSeconds(tasks, now);
        return new Victim(tasks, cost);
    }

    /** Returns the candidate with the lowest cost per gained slot, or null if none gains anything. */
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

    /** Returns the number of slots that the end of {@code victim} adds, plus a small share for partial slots. */
    private double slotGain(Victim victim) {
        int before = totalSlots;
        apply(victim, 1);
        int after = totalSlots;
        apply(victim, -1);
        double partial = 0;
        for (TaskExecution task : victim.tasks) {
            if (slots.containsKey(task.target)) {
                partial += task.demand().coreEquivalents()
                        / Math.max(1, unit.demand().coreEquivalents());
            }
        }
        return after - before + PARTIAL_SLOT_GAIN * partial;
    }

    /** Adds {@code victim} to the chosen victims if {@code sign} is positive, or else removes it. */
    private void apply(Victim victim, int sign) {
        for (TaskExecution task : victim.tasks) {
            Resources demand = task.demand();
            freed.merge(
                    task.target, sign > 0 ? demand : Resources.NONE.minus(demand), (sum, change) -> sum.plus(change));
        }
        for (TargetState target : victim.targets) {
            if (slots.containsKey(target)) {
                updateSlots(target);
            }
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
            if (totalSlots < unit.size()) {
                apply(victim, 1);
            }
        }
    }
}
