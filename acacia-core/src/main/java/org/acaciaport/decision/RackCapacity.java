package org.acaciaport.decision;

/**
 * A histogram of the targets of one rack by the units that they have available.
 *
 * <p>Immutable; the array is never exposed.
 */
final class RackCapacity {
    /** The most accelerators that the configuration check allows on one target. */
    private static final int MAX_UNITS_PER_TARGET = 64;

    static final RackCapacity EMPTY = new RackCapacity(new short[MAX_UNITS_PER_TARGET + 1]);

    private final short[] targetCountByUnits;

    private RackCapacity(short[] targetCountByUnits) {
        this.targetCountByUnits = targetCountByUnits;
    }

    /** Returns this histogram with the count of targets that have {@code units} available changed by {@code change}. */
    RackCapacity plus(int units, int change) {
        short[] next = targetCountByUnits.clone();
        next[units] = (short) (next[units] + change);
        return new RackCapacity(next);
    }

    /** Returns how many targets have at least {@code units} available. */
    int countAtLeast(int units) {
        int count = 0;
        for (int available = units; available <= MAX_UNITS_PER_TARGET; available++) {
            count += targetCountByUnits[available];
        }
        return count;
    }
}
