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
    private static final Comparator<Victim> SILENT_FIRST = Comparator.comparing(victim -> victim.answering);

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
     * Returns a reservation that stops tasks of the account, and possibly others that occupy the room of the unit; null
     * if there is none.
     *
     * @param tiers targets that the unit accepts
     * @param claim whether the unit is a claim, which does not count in tiers that only leave out slow targets
     */
    Reservation find(PlacementUnit unit, List<LocalityTier> tiers, boolean claim) {
        List<Victim> candidates = candidates(unit);
        List<Victim> own = choose(unit, candidates, List.of());
        if (own == null) {
            return null;
        }
        Map<TargetState, Resources> freed = new HashMap<>();
        tasksOf(own).forEach(task -> freed.merge(task.target, task.demand(), Resources::plus));
        for (LocalityTier tier : tiers) {
            for (List<TargetState> group : tier.groups()) {
                List<TargetState> chosen = Placement.selectTargets(
                        unit,
                        group,
                        target -> target.projectedFree().plus(freed.getOrDefault(target, Resources.NONE)),
                        tier.order());
                if (chosen != null) {
                    return new Reservation(chosen, tasksOf(own), "limit", costOf(own), now.monotonicNanos());
                }
            }
        }
        for (LocalityTier tier : tiers) {
            Reservation occupied = occupiedResourceSearch.findPreemption(
                    new OccupiedResourceSearch.Scope(unit, null, tier, tiers.indexOf(tier)),
                    claim && !tier.selective());
            List<Victim> more = occupied == null ? null : choose(unit, candidates, occupied.victims());
            if (more != null) {
                return extended(occupied, more);
            }
        }
        return null;
    }

    /** Returns {@code occupied} with the victims {@code more}, none of which it has. */
    private Reservation extended(Reservation occupied, List<Victim> more) {
        Set<TaskExecution> all = new LinkedHashSet<>(occupied.victims());
        all.addAll(tasksOf(more));
        double lost = occupied.displacedCoreSeconds() + costOf(more);
        return new Reservation(occupied.targets(), List.copyOf(all), occupied.why(), lost, now.monotonicNanos());
    }

    private static List<TaskExecution> tasksOf(List<Victim> victims) {
        return victims.stream().flatMap(victim -> victim.tasks.stream()).toList();
    }

    private static double costOf(List<Victim> victims) {
        return victims.stream().mapToDouble(victim -> victim.cost).sum();
    }

    /**
     * Returns the victims among {@code candidates} that the limit requires beside {@code stopped}, which are to be
     * stopped anyway; null if all of them would not suffice.
     */
    private List<Victim> choose(PlacementUnit unit, List<Victim> candidates, Collection<TaskExecution> stopped) {
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
            if (!counted.contains(victim.tasks.get(0))) {
                chosen.add(victim);
                ended = ended.plus(fullDemand(victim));
            }
        }
        if (!limits.fitsAfter(unit, ended)) {
            return null;
        }
        List<Victim> byCost = new ArrayList<>(chosen);
        byCost.sort(SILENT_FIRST.thenComparingDouble(victim -> -victim.cost));
        for (Victim victim : byCost) {
            Resources without = ended.minus(fullDemand(victim));
            if (limits.fitsAfter(unit, without)) {
                chosen.remove(victim);
                ended = without;
            }
        }
        return chosen;
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
                    candidates.add(victim(unit, candidates.size(), List.of(task)));
                } else if (gangs.add(task.step)) {
                    candidates.add(victim(unit, candidates.size(), placedTasks(task.step)));
                }
            }
        }
        candidates.sort(SILENT_FIRST.reversed().thenComparingDouble(victim -> victim.score));
        return candidates;
    }

    private static List<TaskExecution> placedTasks(StepExecution step) {
        return step.tasks.stream()
                .filter(task -> task.target != null && task.phase != Phase.STOPPING)
                .toList();
    }

    private Victim victim(PlacementUnit unit, int number, List<TaskExecution> tasks) {
        Victim victim = Victim.ofOwnWork(number, tasks);
        victim.cost = VictimCost.lostCoreSeconds(tasks, now);
        victim.score = victim.cost / limits.excessFreed(unit, fullDemand(victim));
        victim.answering = tasks.stream().allMatch(task -> overdueStops.isAnswering(task.target));
        return victim;
    }

    private static Resources fullDemand(Victim victim) {
        return Resources.sumOf(victim.step.spec.demand(), victim.tasks.size());
    }
}
