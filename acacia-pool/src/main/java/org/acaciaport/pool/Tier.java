package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Groups of targets, each of which may take a whole unit. In another tier than the first, work takes several times as
 * long, so a tier counts only where those before it have no room, not even after stops.
 *
 * <p>For the pool's thread only.
 *
 * @param groups the groups
 */
record Tier(List<List<TargetRun>> groups) {
    /** How many times its estimated duration a task waits for the rack of its data. */
    private static final double NEAR_PATIENCE = 1.0;

    /**
     * Returns where {@code unit} may go, best first.
     *
     * @param racks the targets that it may use, by rack
     * @param overdue whether it has waited too long within its guarantee to insist on the best place
     * @param waitedMillis how long it has waited, in milliseconds
     */
    static List<Tier> of(Unit unit, Map<String, List<TargetRun>> racks, boolean overdue, long waitedMillis) {
        Step.Constraints limits = unit.step().spec.constraints();
        List<TargetRun> all = new ArrayList<>();
        racks.values().forEach(all::addAll);
        Tier anywhere = new Tier(List.of(all));
        if (limits.tight() && unit.size() > 1 && Placement.fitsOneRack(unit, racks)) {
            Tier oneRack = new Tier(List.copyOf(racks.values()));
            return overdue ? List.of(oneRack, anywhere) : List.of(oneRack);
        }
        if (limits.nearRack().isEmpty() || !racks.containsKey(limits.nearRack())) {
            return List.of(anywhere);
        }
        Tier near = new Tier(List.of(racks.get(limits.nearRack())));
        long patience = (long) (NEAR_PATIENCE * unit.step().spec.estimateMillis());
        return overdue || waitedMillis > patience ? List.of(near, anywhere) : List.of(near);
    }
}
