package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The units that could not be placed in a pass, each of which rules out later units that need at least as much.
 *
 * <p>Valid until resources are freed. Mutable and not thread-safe; confined to the thread of the pool.
 *
 * @param <K> type of the key that units must share, so that one may rule out another
 */
final class FailedUnits<K> {
    private final Map<K, List<Failure>> failures = new HashMap<>();

    /**
     * The failure of a unit.
     *
     * @param demand resources of each task
     * @param size number of tasks
     * @param cost cost of the cheapest way to make room, which was too high; infinite if there is none
     */
    private record Failure(Resources demand, int size, double cost) {
        boolean rulesOut(PlacementUnit unit, double budget) {
            return (cost == Double.POSITIVE_INFINITY || cost > budget)
                    && size <= unit.size()
                    && demand.fitsIn(unit.demand());
        }
    }

    /** Records that there is no room for {@code unit}. */
    void add(K key, PlacementUnit unit) {
        add(key, unit, Double.POSITIVE_INFINITY);
    }

    /** Records that room for {@code unit} costs at least {@code cost}, which is too much for it. */
    void add(K key, PlacementUnit unit, double cost) {
        failures.computeIfAbsent(key, k -> new ArrayList<>()).add(new Failure(unit.demand(), unit.size(), cost));
    }

    /** Returns whether an earlier failure shows that there is no room for {@code unit}. */
    boolean rulesOut(K key, PlacementUnit unit) {
        return rulesOut(key, unit, Double.MAX_VALUE);
    }

    /** Returns whether an earlier failure shows that there is no room for {@code unit} at a cost within the budget. */
    boolean rulesOut(K key, PlacementUnit unit, double budget) {
        for (Failure failure : failures.getOrDefault(key, List.of())) {
            if (failure.rulesOut(unit, budget)) {
                return true;
            }
        }
        return false;
    }

    /** Forgets all failures, since resources were freed. */
    void clear() {
        failures.clear();
    }
}
