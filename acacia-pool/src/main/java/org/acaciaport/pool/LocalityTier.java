package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Groups of targets with the same locality, each of which may host a whole unit. Outside the first tier, tasks take
 * several times as long, so a tier is considered only if the tiers before it have no room even after preemption.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 *
 * @param groups groups of targets
 * @param order order in which the targets of a group are filled
 * @param selective whether targets were left out that are only too slow, so that a claim has no right to the others
 */
record LocalityTier(List<List<TargetState>> groups, TargetOrder order, boolean selective) {
    /** Multiple of its estimated duration that a task waits for a target in the rack of its data. */
    private static final double LOCALITY_WAIT_FACTOR = 1.0;

    /** Creates a tier whose targets are filled regardless of their speed. */
    LocalityTier(List<List<TargetState>> groups) {
        this(groups, TargetOrder.FULLEST_FIRST, false);
    }

    /** Returns this tier with another order of its targets. */
    LocalityTier inOrder(TargetOrder other) {
        return new LocalityTier(groups, other, selective);
    }

    /** Returns this tier without targets that {@code limit} does not accept; selective if there are any. */
    LocalityTier within(SpeedLimit limit) {
        LocalityTier faster = filter(limit::accepts);
        boolean fewer = false;
        for (int i = 0; i < groups.size(); i++) {
            fewer |= faster.groups.get(i).size() < groups.get(i).size();
        }
        return new LocalityTier(faster.groups, order, selective || fewer);
    }

    /**
     * Returns the tiers in which {@code unit} may be placed, best locality first.
     *
     * @param racks eligible targets by rack
     * @param overdue whether the unit has waited too long to require the best locality
     * @param waitedMillis time that the unit has waited, in milliseconds
     */
    static List<LocalityTier> of(
            PlacementUnit unit, Map<String, List<TargetState>> racks, boolean overdue, long waitedMillis) {
        Step.Constraints constraints = unit.step().spec.constraints();
        List<TargetState> all = new ArrayList<>();
        racks.values().forEach(all::addAll);
        LocalityTier anywhere = new LocalityTier(List.of(all));
        if (constraints.tight() && unit.size() > 1 && Placement.fitsOnOneRack(unit, racks.values())) {
            LocalityTier oneRack = new LocalityTier(List.copyOf(racks.values()));
            return overdue ? List.of(oneRack, anywhere) : List.of(oneRack);
        }
        if (constraints.nearRack().isEmpty() || !racks.containsKey(constraints.nearRack())) {
            return List.of(anywhere);
        }
        LocalityTier nearData = new LocalityTier(List.of(racks.get(constraints.nearRack())));
        return mayLeaveRack(unit, overdue, waitedMillis) ? List.of(nearData, anywhere) : List.of(nearData);
    }

    /** Returns the same groups with only those targets for which {@code usable} holds. */
    LocalityTier filter(Predicate<TargetState> usable) {
        List<List<TargetState>> filtered = groups.stream()
                .map(group -> group.stream().filter(usable).toList())
                .toList();
        return new LocalityTier(filtered, order, selective);
    }

    /** Returns whether a task that prefers the rack of its data accepts targets outside it. */
    static boolean mayLeaveRack(PlacementUnit unit, boolean overdue, long waitedMillis) {
        return overdue || waitedMillis > LOCALITY_WAIT_FACTOR * unit.step().spec.estimateMillis();
    }
}
