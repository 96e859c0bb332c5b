package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A search for the victims whose end makes room for a unit at the lowest cost.
 *
 * <p>Greedy and not optimal: repeatedly adds the victim with the lowest cost per gained slot, then drops the victims
 * that turn out to be redundant. A gang is a victim only as a whole. A choice looks anew only at victims on the targets
 * of the one chosen before. Not thread-safe; confined to the thread of the
 * pool.
 */
final class PreemptionPlanner {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Maximum run time lost when a task with checkpoints is stopped, in seconds: the time between two checkpoints. */
    private static final double MAX_CHECKPOINTED_LOSS_SECONDS = 0.5;

    /** Typical time until a stopped task runs again, in seconds. */
    private static final double PREEMPTION_DELAY_SECONDS = 1.5;

    /** Cost factor of stopping a task of the highest priority. */
    private static final int HIGHEST_PRIORITY_WEIGHT = 5;

    /** Minimum cost of a victim, in core-seconds, so that a run that has only just started is not stopped for free. */
    private static final double MIN_LOSS_CORE_SECONDS = 1.0;

    /** Gain of freed resources in proportion to the demand of one task, relative to the gain of a whole slot. */
    private static final double PARTIAL_SLOT_GAIN = 0.1;

    private final PlacementUnit unit;
    private final List<TargetState> targets;
    private final CostModel costModel;
    private final ClockReading now;
    private final Map<TargetState, Resources> freed = new HashMap<>();
    private final Set<Victim> chosen = new LinkedHashSet<>();

    /** Number of tasks of the unit that fit on each target after the chosen victims have ended. */
    private final Map<TargetState, Integer> slots = new HashMap<>();

    /** The sum of {@code slots}. */
    private int totalSlots;

    private PreemptionPlanner(PlacementUnit unit, List<TargetState> targets, CostModel costModel, ClockReading now) {
        this.unit = unit;
        this.targets = targets;
        this.costModel = costModel;
        this.now = now;
    }

    /** The measure of what a victim costs. */
    enum CostModel {
        /** Work lost by stopping the victim, in core-seconds. */
        LOST_WORK,
        /** Time until the victim ends by itself, in seconds. */
        REMAINING_TIME
    }

    /**
     * The victims and the resulting placement of the unit.
     *
     * @param targets target of each task of the unit
     * @param victims tasks to stop or to wait for; for tasks without a run, reservations to cancel
     * @param cost lost work of all victims, in core-seconds, or the time until the last victim ends, in seconds
     */
    record Plan(List<TargetState> targets, List<TaskExecution> victims, double cost) {}

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

        boolean sharesTargetWith(Victim other) {
            return !Collections.disjoint(targets, other.targets);
        }
    }

    /**
     * Returns a plan that places {@code unit} on {@code targets}, or null if there is none.
     *
     * @param targets targets to choose from
     * @param allowed tests whether a task may be a victim
     * @param costModel measure of the costs to keep low
     */
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
        targets.forEach(this::updateSlots);
        if (!sufficesIfAllStopped(candidates)) {
            return null;
        }
        Map<Victim, Double> gains = new HashMap<>();
        while (totalSlots < unit.size()) {
            Victim best = bestCandidate(candidates, gains);
            if (best == null) {
                return null;
            }
            candidates.remove(best);
            apply(best, 1);
            gains.keySet().removeIf(victim -> victim.sharesTargetWith(best));
        }
        removeRedundantVictims();
        List<TaskExecution> victims = new ArrayList<>();
        double cost = 0;
        for (Victim victim : chosen) {
            victims.addAll(victim.tasks);
            cost = costModel == CostModel.LOST_WORK ? cost + victim.cost : Math.max(cost, victim.cost);
        }
        return new Plan(Placement.selectTargets(unit, targets, this::freeAfterStops), victims, cost);
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

    /**
     * Returns a victim with its cost. Work that was stopped for the victim counts as lost with it, as the victim will
     * displace others again.
     */
    private Victim createVictim(List<TaskExecution> tasks) {
        double displaced = tasks.get(0).step.displacedCoreSeconds;
        double cost = costModel == CostModel.LOST_WORK ? MIN_LOSS_CORE_SECONDS + displaced : 0;
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

    /**
     * Returns the factor for the cost of stopping a task. Tasks of the highest priority have little slack, so a stop
     * makes them late; earlier preemptions raise the factor so that they do not always hit the same step.
     */
    private static int costMultiplier(TaskExecution task) {
        int weight = task.job().terms().priority() == 0 ? HIGHEST_PRIORITY_WEIGHT : 1;
        return weight * (1 + task.step.preemptionCount);
    }

    /**
     * Returns the cost of the delay caused by a stop, as seconds of lost work: highest for a job that would just meet
     * its objective without the stop, and 0 for one that misses it anyway.
     */
    private double delayCostSeconds(TaskExecution task, double runSeconds) {
        double slackSeconds = task.step.slackMillis(now) / MILLIS_PER_SECOND + runSeconds;
        if (slackSeconds < 0) {
            return 0;
        }
        return slackSeconds < PREEMPTION_DELAY_SECONDS
                ? PREEMPTION_DELAY_SECONDS
                : PREEMPTION_DELAY_SECONDS * PREEMPTION_DELAY_SECONDS / slackSeconds;
    }

    /**
     * Returns the candidate with the lowest cost per gained slot, or null if none gains anything.
     *
     * @param gains gains that are known already; those of other candidates are added
     */
    private Victim bestCandidate(List<Victim> candidates, Map<Victim, Double> gains) {
        Victim best = null;
        double bestScore = Double.MAX_VALUE;
        for (Victim victim : candidates) {
            double gain = gains.computeIfAbsent(victim, this::slotGain);
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
