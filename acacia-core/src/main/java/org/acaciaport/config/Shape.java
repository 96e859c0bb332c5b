package org.acaciaport.config;

/**
 * The accelerators that a guarantee or a gang needs: {@code targets} members with {@code acceleratorsPerTarget} each.
 *
 * <p>Immutable. Both counts are at least one in a checked configuration.
 *
 * @param acceleratorsPerTarget accelerators on each member's target
 * @param targets number of members, each on a target of its own
 * @param adjacency how close together the members must run
 */
public record Shape(int acceleratorsPerTarget, int targets, Adjacency adjacency) {
    /** Returns the accelerators of all members together. */
    public int accelerators() {
        return acceleratorsPerTarget * targets;
    }

    @Override
    public String toString() {
        return targets + "x" + acceleratorsPerTarget + " " + adjacency;
    }
}
