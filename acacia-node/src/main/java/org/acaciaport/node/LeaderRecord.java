package org.acaciaport.node;

/**
 * The newest word of the leader in the log. The offset of the first record of a term is the term's epoch.
 *
 * <p>Immutable.
 *
 * @param node name of the leading node
 * @param startedMillis when its process started, in milliseconds since 1970
 * @param resigned whether it has given up the lead
 */
public record LeaderRecord(String node, long startedMillis, boolean resigned) {
    /** Returns whether {@code other} was written by the same node's program before it was started again. */
    boolean replaces(LeaderRecord other) {
        return node.equals(other.node) && startedMillis != other.startedMillis;
    }
}
