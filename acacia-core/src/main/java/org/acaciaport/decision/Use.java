package org.acaciaport.decision;

/**
 * The accelerators that one account occupies on one target.
 *
 * <p>Immutable.
 *
 * @param irrevocable by work that cannot be taken off
 * @param revocable by work that can be taken off
 */
public record Use(int irrevocable, int revocable) {
    /** Nothing in use. */
    static final Use NONE = new Use(0, 0);

    /** Returns all accelerators in use. */
    public int total() {
        return irrevocable + revocable;
    }

    Use plus(int units, boolean canRevoke) {
        return canRevoke ? new Use(irrevocable, revocable + units) : new Use(irrevocable + units, revocable);
    }
}
