package org.acaciaport.decision;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.acaciaport.config.Shares;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The targets of one data centre with their load, indexed by what they can still give.
 *
 * <p>Immutable. The indexes hold exactly the accepting targets.
 *
 * @param targets state of every target by identifier
 * @param racks identifiers of the targets in each rack
 * @param free accepting targets by free accelerators
 * @param unowned accepting targets by accelerators that are both free and owned by nobody
 * @param shares which slices make up each account's guarantee
 * @param listedAsLeaving identifiers on the platform's newest list of leaving VMs, whether or not they are in the fleet
 */
public record Fleet(
        PMap<String, TargetState> targets,
        Map<String, List<String>> racks,
        CapacityIndex free,
        CapacityIndex unowned,
        Shares shares,
        Set<String> listedAsLeaving) {
    /** No targets. */
    static final Fleet EMPTY =
            new Fleet(HashTreePMap.empty(), Map.of(), CapacityIndex.EMPTY, CapacityIndex.EMPTY, Shares.NONE, Set.of());

    /** Returns the target called {@code id}, or null if it is not in the fleet. */
    public TargetState target(String id) {
        return targets.get(id);
    }

    /** Returns the accelerators in use on all targets. */
    public int used() {
        return targets.values().stream().mapToInt(t -> t.load().used()).sum();
    }

    /** Returns the most accelerators that are free together on one accepting target. */
    public int largestFree() {
        return free.largestUnits();
    }

    /** Returns the fleet with the state of one target replaced or added. */
    Fleet with(TargetState next) {
        TargetState previous = targets.get(next.id());
        CapacityIndex freeNext = replace(free, previous, next, Fleet::freeUnits);
        CapacityIndex unownedNext = replace(unowned, previous, next, Fleet::unownedUnits);
        return new Fleet(targets.plus(next.id(), next), racks, freeNext, unownedNext, shares, listedAsLeaving);
    }

    /** Returns the fleet without the target called {@code id}. */
    Fleet without(String id) {
        TargetState previous = targets.get(id);
        CapacityIndex freeNext = remove(free, previous, freeUnits(previous));
        CapacityIndex unownedNext = remove(unowned, previous, unownedUnits(previous));
        return new Fleet(targets.minus(id), racks, freeNext, unownedNext, shares, listedAsLeaving);
    }

    /** Returns the fleet with slices assigned as in {@code next}. */
    Fleet with(Shares next) {
        Fleet fleet = new Fleet(targets, racks, free, unowned, next, listedAsLeaving);
        for (TargetState target : targets.values()) {
            if (!target.owned().equals(next.on(target.id()))) {
                fleet = fleet.with(target.withOwned(next.on(target.id())));
            }
        }
        return fleet;
    }

    /** Returns the fleet with the racks of its present targets. */
    Fleet withRacks() {
        Map<String, List<String>> next = new TreeMap<>();
        for (TargetState target : targets.values()) {
            next.computeIfAbsent(target.target().rack(), r -> new ArrayList<>()).add(target.id());
        }
        next.replaceAll((rack, ids) -> ids.stream().sorted().toList());
        return new Fleet(targets, next, free, unowned, shares, listedAsLeaving);
    }

    /** Returns the fleet with another list of leaving VMs noted; marks no target. */
    Fleet withListedAsLeaving(Set<String> next) {
        return new Fleet(targets, racks, free, unowned, shares, ImmutableSet.copyOf(next));
    }

    /** Returns the fleet with {@code change} made to one target. */
    Fleet withChanged(String id, UnaryOperator<TargetState> change) {
        return with(change.apply(targets.get(id)));
    }

    /** An amount by which targets are indexed. */
    private interface Amount {
        int of(TargetState target);
    }

    private static int freeUnits(TargetState target) {
        return target.acceptsWork() ? Math.max(0, target.free()) : 0;
    }

    private static int unownedUnits(TargetState target) {
        return Math.min(freeUnits(target), Math.max(0, target.unowned()));
    }

    private static CapacityIndex replace(CapacityIndex index, TargetState previous, TargetState next, Amount amount) {
        int before = previous == null ? 0 : amount.of(previous);
        int after = amount.of(next);
        boolean moved = previous != null
                && !previous.target().rack().equals(next.target().rack());
        if (before == after && !moved) {
            return index;
        }
        CapacityIndex result = previous == null ? index : remove(index, previous, before);
        return after == 0 ? result : result.plus(next.id(), next.target().rack(), after);
    }

    private static CapacityIndex remove(CapacityIndex index, TargetState target, int units) {
        return units == 0 ? index : index.minus(target.id(), target.target().rack(), units);
    }
}
