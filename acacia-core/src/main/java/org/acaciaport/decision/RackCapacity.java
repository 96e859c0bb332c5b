package org.acaciaport.decision;

/**
 * How many accepting targets of one rack have how many free accelerators.
 *
 * <p>Immutable; the array is never handed out.
 */
final class RackCapacity {
    /** Most accelerators on a target, as the configuration check allows. */
    private static final int MAX_UNITS_PER_TARGET = 64;

    static final RackCapacity EMPTY = new RackCapacity(new short[MAX_UNITS_PER_TARGET + 1]);

    private final short[] targetsByFree;

    private RackCapacity(short[] targetsByFree) {
        this.targetsByFree = targetsByFree;
    }

    RackCapacity plus(int free, int targets) {
        short[] next = targetsByFree.clone();
        next[free] = (short) (next[free] + targets);
        return new RackCapacity(next);
    }

    /** Returns how many targets have at least {@code units} free. */
    int countAtLeast(int units) {
        int count = 0;
        for (int free = units; free <= MAX_UNITS_PER_TARGET; free++) {
            count += targetsByFree[free];
        }
        return count;
    }
}
