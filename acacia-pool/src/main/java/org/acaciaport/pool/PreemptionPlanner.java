package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;

/**
 * A search for the victims whose end makes room for a unit at the lowest cost.
 *
 * <p>Greedy and not optimal: repeatedly adds the victim with the lowest cost per gained slot, then drops the victims
 * that turn out to be redundant. A gang is a victim only as a whole. After a choice, only the victims that share a
 * target with the chosen one are evaluated again. Not thread-safe; confined to the thread of the pool.
 */
final class PreemptionPlanner {
    private static final Comparator<Entry> BY_SCORE =
            Comparator.comparingDouble(Entry::score).thenComparingInt(entry -> entry.victim.number);

    private final PlacementUnit unit;
    private final List<TargetState> targets;
    private final CostModel costModel;
    private final ClockReading now;
    private final SearchEffort effort;
    private final SlotTable table;

    /** Candidates in the order of their targets, then of the tasks on them. */
    private final List<Victim> candidates = new ArrayList<>();

    /** Candidates by number of their targets. */
    private final List<List<Victim>> byTarget = new ArrayList<>();

    private final PriorityQueue<Entry> queue = new PriorityQueue<>(BY_SCORE);
    private final List<Victim> chosen = new ArrayList<>();

    private PreemptionPlanner(
            PlacementUnit unit, List<TargetState> targets, CostModel costModel, ClockReading now, SearchEffort effort) {
        this.unit = unit;
        this.targets = targets;
        this.costModel = costModel;
        this.now = now;
        this.effort = effort;
        table = new SlotTable(unit, targets);
    }

    /** The measure of what a victim costs. */
    enum CostModel {
        /** Work lost by stopping the victim, in core-seconds. */
        LOST_WORK,
        /** Time until the victim ends by itself, in seconds. */
        REMAINING_TIME;

        private double costOf(List<TaskExecution> tasks, ClockReading now) {
            return this == LOST_WORK ? VictimCost.lostCoreSeconds(tasks, now) : VictimCost.remainingSeconds(tasks, now);
        }

        private double sum(double cost, double other) {
            return this == LOST_WORK ? cost + other : Math.max(cost, other);
        }
    }

    /**
     * The victims and the resulting placement of the unit.
     *
     * @param targets target of each task of the unit
     * @param victims tasks to stop or to wait for; for tasks without a run, reservations to cancel
     * @param cost lost work of all victims, in core-seconds, or the time until the last victim ends, in seconds
     */
    record Plan(List<TargetState> targets, List<TaskExecution> victims, double cost) {}

    /** The score of a victim at one of its evaluations; outdated if the victim was evaluated again. */
    private record Entry(Victim victim, int version, double score) {
        boolean isCurrent() {
            return !victim.chosen && version == victim.version;
        }
    }

    /**
     * Returns the cheapest of the plans that place {@code unit} on one of {@code groups}, or null if there is none. The
     * first group goes first among plans of the same cost.
     *
     * @param groups groups of targets to choose from
     * @param allowed tests whether a task may be a victim
     * @param costModel measure of the costs to keep low
     * @param effort counts the evaluations
     */
    static Plan findCheapest(
            PlacementUnit unit,
            List<List<TargetState>> groups,
            Predicate<TaskExecution> allowed,
            CostModel costModel,
            ClockReading now,
            SearchEffort effort) {
        PreemptionPlanner best = null;
        for (List<TargetState> group : groups) {
            PreemptionPlanner planner = new PreemptionPlanner(unit, group, costModel, now, effort);
            if (planner.search(allowed) && (best == null || planner.cost() < best.cost())) {
                best = planner;
            }
        }
        return best == null ? null : best.plan();
    }

    /** Chooses victims; returns false if their end cannot make room for the unit. */
    private boolean search(Predicate<TaskExecution> allowed) {
        if (table.total() >= unit.size()) {
            return true;
        }
        collectCandidates(allowed);
        if (!narrowCandidates()) {
            return false;
        }
        indexCandidates();
        while (table.total() < unit.size()) {
            Victim best = cheapestCandidate();
            if (best == null) {
                return false;
            }
            choose(best);
        }
        removeRedundantVictims();
        return true;
    }

    private void collectCandidates(Predicate<TaskExecution> allowed) {
        Set<StepExecution> gangs = new HashSet<>();
        for (int i = 0; i < targets.size(); i++) {
            for (TaskExecution task : targets.get(i).tasks.values()) {
                if (task.phase == Phase.STOPPING || !allowed.test(task)) {
                    continue;
                }
                if (!task.step.spec.mode().gang()) {
                    candidates.add(Victim.ofSingle(candidates.size(), task, i));
                } else if (gangs.add(task.step)) {
                    candidates.add(Victim.ofGang(candidates.size(), task.step, table));
                }
            }
        }
    }

    /**
     * Drops candidates none of whose targets could host a task even if all candidates ended: they gain nothing and
     * change the gain of no other. Returns false if the unit would not fit in that case either.
     */
    private boolean narrowCandidates() {
        candidates.forEach(victim -> victim.apply(table, 1));
        if (table.total() < unit.size()) {
            return false;
        }
        boolean[] usable = new boolean[table.size()];
        for (int i = 0; i < usable.length; i++) {
            usable[i] = table.slots(i) > 0;
        }
        candidates.forEach(victim -> victim.apply(table, -1));
        candidates.removeIf(victim -> !reachesAny(victim, usable));
        return true;
    }

    private static boolean reachesAny(Victim victim, boolean[] usable) {
        for (int target : victim.targets) {
            if (usable[target]) {
                return true;
            }
        }
        return false;
    }

    private void indexCandidates() {
        for (int i = 0; i < table.size(); i++) {
            byTarget.add(new ArrayList<>());
        }
        for (Victim victim : candidates) {
            victim.prepare(unit, costModel.costOf(victim.tasks, now));
            for (int target : victim.targets) {
                byTarget.get(target).add(victim);
            }
            evaluate(victim);
        }
    }

    private void evaluate(Victim victim) {
        effort.evaluations++;
        victim.evaluate(table);
        if (victim.score < Double.MAX_VALUE) {
            queue.add(new Entry(victim, victim.version, victim.score));
        }
    }

    /** Returns the candidate with the lowest cost per gained slot, or null if none gains anything. */
    private Victim cheapestCandidate() {
        Entry entry = queue.poll();
        while (entry != null && !entry.isCurrent()) {
            entry = queue.poll();
        }
        return entry == null ? null : entry.victim;
    }

    private void choose(Victim best) {
        best.chosen = true;
        chosen.add(best);
        best.apply(table, 1);
        for (int target : best.targets) {
            for (Victim victim : byTarget.get(target)) {
                if (!victim.chosen && victim.lastChoice != chosen.size()) {
                    victim.lastChoice = chosen.size();
                    evaluate(victim);
                }
            }
        }
    }

    /** Drops victims without which there is still room, the most expensive first. */
    private void removeRedundantVictims() {
        List<Victim> byCost = new ArrayList<>(chosen);
        byCost.sort((one, other) -> Double.compare(other.cost, one.cost));
        chosen.clear();
        for (Victim victim : byCost) {
            victim.apply(table, -1);
            if (table.total() < unit.size()) {
                victim.apply(table, 1);
                chosen.add(victim);
            }
        }
    }

    private double cost() {
        double cost = 0;
        for (Victim victim : chosen) {
            cost = costModel.sum(cost, victim.cost);
        }
        return cost;
    }

    private Plan plan() {
        List<TaskExecution> victims = new ArrayList<>();
        chosen.forEach(victim -> victims.addAll(victim.tasks));
        // Later searches have numbered the targets anew.
        SlotTable current = new SlotTable(unit, targets);
        chosen.forEach(victim -> victim.apply(current, 1));
        return new Plan(Placement.selectTargets(unit, targets, current::free), victims, cost());
    }
}
