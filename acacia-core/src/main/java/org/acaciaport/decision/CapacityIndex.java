package org.acaciaport.decision;

import java.util.Comparator;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Accepting targets in order of the accelerators they can still give, overall and by rack.
 *
 * <p>Immutable. Holds exactly the targets that were added with a positive amount. Updates and look-ups take logarithmic
 * time in the number of targets.
 */
final class CapacityIndex {
    /** One target and the accelerators that it can give. */
    record Entry(int units, String target) implements Comparable<Entry> {
        private static final Comparator<Entry> ORDER =
                Comparator.comparingInt(Entry::units).thenComparing(Entry::target);

        @Override
        public int compareTo(Entry other) {
            return ORDER.compare(this, other);
        }
    }

    static final CapacityIndex EMPTY = new CapacityIndex(TreePSet.empty(), HashTreePMap.empty());

    private final TreePSet<Entry> entries;
    private final PMap<String, RackCapacity> racks;

    private CapacityIndex(TreePSet<Entry> entries, PMap<String, RackCapacity> racks) {
        this.entries = entries;
        this.racks = racks;
    }

    CapacityIndex plus(String target, String rack, int units) {
        RackCapacity load = racks.getOrDefault(rack, RackCapacity.EMPTY).plus(units, 1);
        return new CapacityIndex(entries.plus(new Entry(units, target)), racks.plus(rack, load));
    }

    CapacityIndex minus(String target, String rack, int units) {
        RackCapacity load = racks.get(rack).plus(units, -1);
        return new CapacityIndex(entries.minus(new Entry(units, target)), racks.plus(rack, load));
    }

    /** Returns the targets that can give at least {@code units}, fewest first. */
    Iterable<Entry> atLeast(int units) {
        return entries.tailSet(new Entry(units, ""));
    }

    /** Returns how many targets of {@code rack} can give at least {@code units}. */
    int countInRack(String rack, int units) {
        return racks.getOrDefault(rack, RackCapacity.EMPTY).countAtLeast(units);
    }

    /** Returns the most accelerators that one target can give; zero if none. */
    int largestUnits() {
        return entries.isEmpty() ? 0 : entries.last().units();
    }
}
