package org.acaciaport.config;

/**
 * The accelerators of a guarantee or a gang: {@code targets} members with {@code acceleratorsPerTarget} accelerators
 * each.
 *
 * <p>Immutable. Both counts are at least 1 in a configuration that {@link ConfigurationCheck} has accepted.
 *
 * @param acceleratorsPerTarget accelerators on each member's target
 * @param targets number of members, each on a different target
 * @param adjacency locality constraint on the members
 */
public record Shape(int acceleratorsPerTarget, int targets, Adjacency adjacency) {
    /** Returns the total number of accelerators of all members. */
    public int accelerators() {
        return acceleratorsPerTarget * targets;
    }

    @Override
    public String toString() {
        return targets + "x" + acceleratorsPerTarget + " " + adjacency;
    }
}
