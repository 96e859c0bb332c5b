package org.acaciaport.node;

import java.util.Collection;

/**
 * How long a node leaves a vacant leadership to the others: the larger its VM among those known, the shorter.
 *
 * <p>The leader serves all targets, so it needs more processor time and a faster link than the other nodes. If all
 * larger VMs are gone, a smaller one leads, only later.
 */
final class ClaimDelay {
    /** The delay of a VM that is much smaller than the largest, or knows no other, in milliseconds. */
    static final long MAX_MILLIS = 400;

    private ClaimDelay() {}

    /**
     * Returns the delay of a node, in milliseconds.
     *
     * @param self name of the node
     * @param own capacity of its VM
     * @param nodes the nodes known; it may be one of them
     */
    static long millis(String self, VmCapacity own, Collection<NodeRecord> nodes) {
        double smallest = 1;
        boolean alone = true;
        for (NodeRecord node : nodes) {
            if (!node.name().equals(self)) {
                alone = false;
                smallest = Math.min(smallest, own.fractionOf(node.capacity()));
            }
        }
        return alone ? MAX_MILLIS : Math.round((1 - smallest) * MAX_MILLIS);
    }
}
