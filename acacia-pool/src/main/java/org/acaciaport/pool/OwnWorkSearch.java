package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A search for tasks whose stop brings a unit of the highest priority within the limit of its client account: the
 * cheapest ones of that account at lower priorities, on targets that answer if these suffice.
 *
 * <p>Only decides and changes no state. A gang is a victim only as a whole. Not optimal: takes victims by lost work per
 * freed resource, then drops those that turn out to be redundant. Created anew for each pass. Not thread-safe; confined
 * to the thread of the pool.
 */
final class OwnWorkSearch {
    /** Run time lost at most when a task with checkpoints is stopped, in seconds: the time between two checkpoints. */
    private static final double MAX_CHECKPOINTED_LOSS_SECONDS = 0.5;

    /** Part of the cost of any run, in seconds, so that a run that has only just started is not stopped for free. */
    private static final double MIN_LOSS_SECONDS = 0.1;

    private final AccountLimits limits;
    private final OccupiedResourceSearch occupiedResourceSearch;
    private final Collection<TargetState> targets;
    private final OverdueStops overdueStops;
    private final ClockReading now;

    OwnWorkSearch(
            AccountLimits limits,
            OccupiedResourceSearch occupiedResourceSearch,
            Collection<TargetState> targets,
            OverdueStops overdueStops,
            ClockReading now) {
        this.limits = limits;
        this.occupiedResourceSearch = occupiedResourceSearch;
        this.targets = targets;
        this.overdueStops = overdueStops;
        this.now = now;
    }

    /**
     * A gang or a single task.
     *
     * @param answering whether all its targets answer, so that it ends soon after a stop
     */
    private record Victim(List<TaskExecution> tasks, boolean answering, double lostCoreSeconds, double costPerGain) {}

    /**
     * Returns a reservation that stops tasks of the account, and possibly others that occupy the room of the unit; null
     * if there is none.
     *
     * @param tiers targets that the unit accepts
     * @param claim whether the unit is a claim, which does not count in tiers that only leave out slow targets
     */
    Reservation find(PlacementUnit unit, List<LocalityTier> tiers, boolean claim) {
        List<Victim> candidates = candidates(unit);
        List<TaskExecution> own = choose(unit, candidates, List.of());
        if (own == null) {
            return null;
        }
        Map<TargetState, Resources> freed = new HashMap<>();
        own.forEach(task -> freed.merge(task.target, task.demand(), Resources::plus));
        for (LocalityTier tier : tiers) {
            for (List<TargetState> group : tier.groups()) {
                List<TargetState> chosen = Placement.selectTargets(
                        unit,
                        group,
                        target -> target.projectedFree().plus(freed.getOrDefault(target, Resources.NONE)),
                        tier.order());
                if (chosen != null) {
                    return reservation(chosen, own, "limit");
                }
            }
        }
        for (LocalityTier tier : tiers) {
            Reservation occupied = occupiedResourceSearch.findPreemption(
                    new OccupiedResourceSearch.Scope(unit, null, tier, tiers.indexOf(tier)),
                    claim && !tier.selective());
            List<TaskExecution> more = occupied == null ? null : choose(unit, candidates, occupied.victims());
            if (more != null) {
                Set<TaskExecution> all = new LinkedHashSet<>(occupied.victims());
                all.addAll(more);
                return reservation(occupied.targets(), List.copyOf(all), occupied.why());
            }
        }
        return null;
    }

    private Reservation reservation(List<TargetState> chosen, List<TaskExecution> victims, String why) {
        double lost = victims.stream().mapToDouble(this::lostCoreSeconds).sum();
        return new Reservation(chosen, victims, why, lost, now.monotonicNanos());
    }

    /**
     * Returns the victims among {@code candidates} that the limit requires beside {@code stopped}, which are to be
     * stopped anyway; null if all of them would not suffice.
     */
    private List<TaskExecution> choose(PlacementUnit unit, List<Victim> candidates, Collection<TaskExecution> stopped) {
        Set<TaskExecution> counted = new HashSet<>(stopped);
        Resources ended = Resources.NONE;
        for (TaskExecution task : stopped) {
            if (task.phase != Phase.STOPPING
                    && task.job().account().equals(unit.job().account())) {
                ended = ended.plus(task.step.spec.demand());
            }
        }
        List<Victim> chosen = new ArrayList<>();
        for (Victim victim : candidates) {
            if (limits.fitsAfter(unit, ended)) {
                break;
            }
            if (!counted.contains(victim.tasks().get(0))) {
                chosen.add(victim);
                ended = ended.plus(fullDemand(victim));
            }
        }
        if (!limits.fitsAfter(unit, ended)) {
            return null;
        }
        List<Victim> byCost = new ArrayList<>(chosen);
        byCost.sort(Comparator.comparing(Victim::answering)
                .thenComparing(
                        Comparator.comparingDouble(Victim::lostCoreSeconds).reversed()));
        for (Victim victim : byCost) {
            Resources without = ended.minus(fullDemand(victim));
            if (limits.fitsAfter(unit, without)) {
                chosen.remove(victim);
                ended = without;
            }
        }
        return chosen.stream().flatMap(victim -> victim.tasks().stream()).toList();
    }

    /** Returns the tasks of the account below the highest priority: on targets that answer first, then by cost. */
    private List<Victim> candidates(PlacementUnit unit) {
        List<Victim> candidates = new ArrayList<>();
        Set<StepExecution> gangs = new HashSet<>();
        for (TargetState target : targets) {
            for (TaskExecution task : target.tasks.values()) {
                boolean own = task.job().account().equals(unit.job().account());
                if (!own || task.job().terms().priority() == 0 || task.phase == Phase.STOPPING) {
                    continue;
                }
                if (!task.step.spec.mode().gang()) {
                    candidates.add(victim(unit, List.of(task)));
                } else if (gangs.add(task.step)) {
                    candidates.add(victim(unit, placedTasks(task.step)));
                }
            }
        }
        candidates.sort(
                Comparator.comparing((Victim victim) -> !victim.answering()).thenComparingDouble(Victim::costPerGain));
        return candidates;
    }

    private static List<TaskExecution> placedTasks(StepExecution step) {
        return step.tasks.stream()
                .filter(task -> task.target != null && task.phase != Phase.STOPPING)
                .toList();
    }

    private Victim victim(PlacementUnit unit, List<TaskExecution> tasks) {
        double lost = tasks.stream().mapToDouble(this::lostCoreSeconds).sum();
        Resources freed = Resources.sumOf(tasks.get(0).step.spec.demand(), tasks.size());
        boolean answering = tasks.stream().allMatch(task -> overdueStops.isAnswering(task.target));
        return new Victim(tasks, answering, lost, lost / limits.excessFreed(unit, freed));
    }

    private double lostCoreSeconds(TaskExecution task) {
        if (task.phase == Phase.RESERVED) {
            return 0;
        }
        double seconds = task.phase == Phase.RUNNING ? now.secondsSince(task.confirmedNanos) : 0;
        double lostSeconds =
                task.step.spec.mode().checkpoint() ? Math.min(seconds, MAX_CHECKPOINTED_LOSS_SECONDS) : seconds;
        return (MIN_LOSS_SECONDS + lostSeconds)
                * task.step.spec.demand().coreEquivalents()
                * (1 + task.step.preemptionCount);
    }

    private static Resources fullDemand(Victim victim) {
        TaskExecution first = victim.tasks().get(0);
        return Resources.sumOf(first.step.spec.demand(), victim.tasks().size());
    }
}
