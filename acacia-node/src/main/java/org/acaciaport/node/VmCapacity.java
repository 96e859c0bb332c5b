package org.acaciaport.node;

/**
 * What a VM offers to the node on it.
 *
 * <p>Immutable.
 *
 * @param cores processor time, in seconds a second
 * @param linkMbps speed of its network link, in megabits a second
 */
public record VmCapacity(double cores, double linkMbps) {
    /** The capacity of a VM of which nothing is known. */
    static final VmCapacity UNKNOWN = new VmCapacity(0, 0);

    /**
     * Creates a capacity.
     *
     * @throws IllegalArgumentException if an amount is negative or not a finite number
     */
    public VmCapacity {
        if (!(cores >= 0 && cores < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("cores " + cores + " are negative or not finite");
        }
        if (!(linkMbps >= 0 && linkMbps < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("linkMbps " + linkMbps + " is negative or not finite");
        }
    }

    /** Returns the part of {@code other} that this VM offers of the resource in which it is weaker; 0 to 1. */
    double fractionOf(VmCapacity other) {
        return Math.min(fraction(cores, other.cores), fraction(linkMbps, other.linkMbps));
    }

    private static double fraction(double own, double other) {
        return own >= other ? 1 : own / other;
    }
}
