package org.acaciaport.decision;

import java.util.Comparator;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * An index of targets by the units that they have available, over the whole data centre and by rack.
 *
 * <p>Immutable. Contains exactly the targets that were added with a positive number of units. Updates and look-ups take
 * logarithmic time in the number of targets.
 */
final class CapacityIndex {
    /** A target and the units that it has available, ordered by units and then by target. */
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

    /** Returns this index with {@code target} added, which must not be in it. */
    CapacityIndex plus(String target, String rack, int units) {
        RackCapacity capacity = racks.getOrDefault(rack, RackCapacity.EMPTY).plus(units, 1);
        return new CapacityIndex(entries.plus(new Entry(units, target)), racks.plus(rack, capacity));
    }

    /** Returns this index without {@code target}, which must have been added with the same rack and units. */
    CapacityIndex minus(String target, String rack, int units) {
        RackCapacity capacity = racks.get(rack).plus(units, -1);
        return new CapacityIndex(entries.minus(new Entry(units, target)), racks.plus(rack, capacity));
    }

    /** Returns the targets that have at least {@code units} available, in ascending order of available units. */
    Iterable<Entry> atLeast(int units) {
        return entries.tailSet(new Entry(units, ""));
    }

    /** Returns how many targets of {@code rack} have at least {@code units} available. */
    int countInRack(String rack, int units) {
        return racks.getOrDefault(rack, RackCapacity.EMPTY).countAtLeast(units);
    }

    /** Returns the most units that a single target has available; zero if the index is empty. */
    int largestUnits() {
        return entries.isEmpty() ? 0 : entries.last().units();
    }
}
