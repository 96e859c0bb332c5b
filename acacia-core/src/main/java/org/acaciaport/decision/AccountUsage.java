package org.acaciaport.decision;

/**
 * The units that one account occupies on one target.
 *
 * <p>Immutable.
 *
 * @param irrevocable units occupied by irrevocable work
 * @param revocable units occupied by revocable work
 */
public record AccountUsage(int irrevocable, int revocable) {
    /** No units. */
    static final AccountUsage NONE = new AccountUsage(0, 0);

    /** Returns the units occupied by irrevocable and revocable work together. */
    public int total() {
        return irrevocable + revocable;
    }

    /** Returns this usage changed by {@code units}, which may be negative. */
    AccountUsage plus(int units, boolean isRevocable) {
        return isRevocable
                ? new AccountUsage(irrevocable, revocable + units)
                : new AccountUsage(irrevocable + units, revocable);
    }
}
