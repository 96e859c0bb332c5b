package org.acaciaport.decision;

/**
 * The accelerators that one account occupies on one target.
 *
 * <p>Immutable.
 *
 * @param irrevocable by work that cannot be taken off
 * @param revocable by work that can be taken off
 */
public record AccountUsage(int irrevocable, int revocable) {
    /** Nothing in use. */
    static final AccountUsage NONE = new AccountUsage(0, 0);

    /** Returns all accelerators in use. */
    public int total() {
        return irrevocable + revocable;
    }

    AccountUsage plus(int units, boolean canRevoke) {
        return canRevoke
                ? new AccountUsage(irrevocable, revocable + units)
                : new AccountUsage(irrevocable + units, revocable);
    }
}
