package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The targets that accept tasks with a service and a label during a pass, regardless of demand.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 *
 * @param all the targets, in the order of the pool
 * @param racks the same targets by rack
 */
record EligibleTargets(List<TargetState> all, Collection<List<TargetState>> racks) {
    /**
     * What targets are chosen by, other than demand; an empty label is no restriction.
     *
     * @param acceptsSuspected whether targets are accepted on which work has failed
     */
    record Key(String service, String label, boolean acceptsSuspected) {}

    /** Returns {@code targets}, grouped by rack. */
    static EligibleTargets of(List<TargetState> targets) {
        Map<String, List<TargetState>> racks = new HashMap<>();
        for (TargetState target : targets) {
            racks.computeIfAbsent(target.rack(), rack -> new ArrayList<>()).add(target);
        }
        return new EligibleTargets(targets, racks.values());
    }
}
