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
record LocalityTier(List<List<TargetState>> groups) {
    /** How many times its estimated duration a task waits for the rack of its data. */
    private static final double LOCALITY_WAIT_FACTOR = 1.0;

    /**
     * Returns where {@code unit} may go, best first.
     *
     * @param racks the targets that it may use, by rack
     * @param overdue whether it has waited too long within its guarantee to insist on the best place
     * @param waitedMillis how long it has waited, in milliseconds
     */
    static List<LocalityTier> of(
            PlacementUnit unit, Map<String, List<TargetState>> racks, boolean overdue, long waitedMillis) {
        Step.Constraints constraints = unit.step().spec.constraints();
        List<TargetState> all = new ArrayList<>();
        racks.values().forEach(all::addAll);
        LocalityTier anywhere = new LocalityTier(List.of(all));
        if (constraints.tight() && unit.size() > 1 && Placement.fitsOnOneRack(unit, racks)) {
            LocalityTier oneRack = new LocalityTier(List.copyOf(racks.values()));
            return overdue ? List.of(oneRack, anywhere) : List.of(oneRack);
        }
        if (constraints.nearRack().isEmpty() || !racks.containsKey(constraints.nearRack())) {
            return List.of(anywhere);
        }
        LocalityTier nearData = new LocalityTier(List.of(racks.get(constraints.nearRack())));
        long localityWaitMillis =
                (long) (LOCALITY_WAIT_FACTOR * unit.step().spec.estimateMillis());
        return overdue || waitedMillis > localityWaitMillis ? List.of(nearData, anywhere) : List.of(nearData);
    }
}
