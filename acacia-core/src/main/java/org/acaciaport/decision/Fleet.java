package org.acaciaport.decision;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.acaciaport.config.SliceAssignment;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The targets of one data centre, indexed by the units that they have available.
 *
 * <p>Immutable. The indexes contain exactly the targets that accept work and have units available.
 *
 * @param targets state of every target, by identifier
 * @param racks identifiers of the targets in each rack, sorted
 * @param free the targets that accept work, by free units
 * @param unowned the targets that accept work, by units that are free and may be taken by irrevocable work of any
 *     account
 * @param sliceAssignment the slices of targets that each account owns under its guarantee
 * @param listedAsLeaving identifiers on the platform's newest list of leaving VMs, including those not in the fleet
 */
public record Fleet(
        PMap<String, TargetState> targets,
        Map<String, List<String>> racks,
        CapacityIndex free,
        CapacityIndex unowned,
        SliceAssignment sliceAssignment,
        Set<String> listedAsLeaving) {
    /** A fleet without targets. */
    static final Fleet EMPTY = new Fleet(
            HashTreePMap.empty(), Map.of(), CapacityIndex.EMPTY, CapacityIndex.EMPTY, SliceAssignment.NONE, Set.of());

    /** Returns the state of the target with identifier {@code id}, or null if it is not in the fleet. */
    public TargetState target(String id) {
        return targets.get(id);
    }

    /** Returns the units occupied on all targets. */
    public int used() {
        return targets.values().stream().mapToInt(t -> t.load().used()).sum();
    }

    /** Returns the most units that are free on a single target that accepts work. */
    public int largestFree() {
        return free.largestUnits();
    }

    /** Returns this fleet with the state of one target replaced or added. */
    Fleet with(TargetState next) {
        TargetState previous = targets.get(next.id());
        CapacityIndex freeNext = replace(free, previous, next, Fleet::freeUnits);
        CapacityIndex unownedNext = replace(unowned, previous, next, Fleet::unownedUnits);
        return new Fleet(targets.plus(next.id(), next), racks, freeNext, unownedNext, sliceAssignment, listedAsLeaving);
    }

    /** Returns this fleet without the target with identifier {@code id}, which must be in it. */
    Fleet without(String id) {
        TargetState previous = targets.get(id);
        CapacityIndex freeNext = remove(free, previous, freeUnits(previous));
        CapacityIndex unownedNext = remove(unowned, previous, unownedUnits(previous));
        return new Fleet(targets.minus(id), racks, freeNext, unownedNext, sliceAssignment, listedAsLeaving);
    }

    /** Returns this fleet with slices assigned as in {@code next}. */
    Fleet with(SliceAssignment next) {
        Fleet fleet = new Fleet(targets, racks, free, unowned, next, listedAsLeaving);
        for (TargetState target : targets.values()) {
            if (!target.owned().equals(next.unitsByAccount(target.id()))) {
                fleet = fleet.with(target.withOwned(next.unitsByAccount(target.id())));
            }
        }
        return fleet;
    }

    /** Returns this fleet with {@link #racks} computed anew from its targets. */
    Fleet withRacks() {
        Map<String, List<String>> next = new TreeMap<>();
        for (TargetState target : targets.values()) {
            next.computeIfAbsent(target.target().rack(), r -> new ArrayList<>()).add(target.id());
        }
        next.replaceAll((rack, ids) -> ids.stream().sorted().toList());
        return new Fleet(targets, next, free, unowned, sliceAssignment, listedAsLeaving);
    }

    /** Returns this fleet with another list of leaving VMs. Does not mark any target as leaving. */
    Fleet withListedAsLeaving(Set<String> next) {
        return new Fleet(targets, racks, free, unowned, sliceAssignment, ImmutableSet.copyOf(next));
    }

    /** Returns this fleet with {@code change} applied to the target with identifier {@code id}. */
    Fleet withChanged(String id, UnaryOperator<TargetState> change) {
        return with(change.apply(targets.get(id)));
    }

    /** The number of units by which an index orders its targets. */
    private interface UnitsFunction {
        int unitsOf(TargetState target);
    }

    private static int freeUnits(TargetState target) {
        return target.acceptsWork() ? Math.max(0, target.free()) : 0;
    }

    private static int unownedUnits(TargetState target) {
        return Math.min(freeUnits(target), Math.max(0, target.unowned()));
    }

    private static CapacityIndex replace(
            CapacityIndex index, TargetState previous, TargetState next, UnitsFunction function) {
        int before = previous == null ? 0 : function.unitsOf(previous);
        int after = function.unitsOf(next);
        boolean rackChanged = previous != null
                && !previous.target().rack().equals(next.target().rack());
        if (before == after && !rackChanged) {
            return index;
        }
        CapacityIndex result = previous == null ? index : remove(index, previous, before);
        return after == 0 ? result : result.plus(next.id(), next.target().rack(), after);
    }

    private static CapacityIndex remove(CapacityIndex index, TargetState target, int units) {
        return units == 0 ? index : index.minus(target.id(), target.target().rack(), units);
    }
}
