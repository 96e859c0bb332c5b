package org.acaciaport.decision;

/**
 * How many accepting targets of one rack have how many free accelerators.
 *
 * <p>Immutable; the array is never handed out.
 */
final class RackLoad {
    /** Most accelerators on a target, as the configuration check allows. */
    private static final int MAX_UNITS = 64;

    static final RackLoad EMPTY = new RackLoad(new short[MAX_UNITS + 1]);

    private final short[] targetsByFree;

    private RackLoad(short[] targetsByFree) {
        this.targetsByFree = targetsByFree;
    }

    RackLoad plus(int free, int targets) {
        short[] next = targetsByFree.clone();
        next[free] = (short) (next[free] + targets);
        return new RackLoad(next);
    }

    /** Returns how many targets have at least {@code units} free. */
    int atLeast(int units) {
        int count = 0;
        for (int free = units; free <= MAX_UNITS; free++) {
            count += targetsByFree[free];
        }
        return count;
    }
}
