package org.acaciaport.node;

import java.util.Objects;

/**
 * A claim, heartbeat or resignation of the leader. The offset of the first record of a term is the term's epoch.
 *
 * <p>Immutable.
 *
 * @param node name of the leading node
 * @param startedMillis when its process started, in milliseconds since the Unix epoch
 * @param resigned whether it has resigned
 */
public record LeaderRecord(String node, long startedMillis, boolean resigned) {
    /** Requires a node. */
    public LeaderRecord {
        Objects.requireNonNull(node, "node");
    }

    /** Returns whether {@code other} was written by the same process, in whichever term. */
    boolean isOfProcessOf(LeaderRecord other) {
        return node.equals(other.node) && startedMillis == other.startedMillis;
    }

    /** Returns whether {@code other} was written by another process of the same node, so before a restart. */
    boolean replaces(LeaderRecord other) {
        return node.equals(other.node) && startedMillis != other.startedMillis;
    }
}
