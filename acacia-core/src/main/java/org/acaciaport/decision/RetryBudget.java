package org.acaciaport.decision;

/**
 * The retry budget of one profile: bounds the share of its attempts that are retries.
 *
 * <p>Immutable. Each started attempt deposits a fraction of a retry, and each retry withdraws a whole one. The balance
 * never exceeds {@value #MAX_PERCENT} percent of an attempt, so a burst of failures leads to a bounded number of
 * retries.
 *
 * @param balancePercent balance in hundredths of an attempt
 */
record RetryBudget(int balancePercent) {
    private static final int MAX_PERCENT = 1_000;
    private static final int ATTEMPT_PERCENT = 100;

    /** The budget of a profile that has not been used yet. */
    static final RetryBudget FULL = new RetryBudget(MAX_PERCENT);

    /** Returns this budget with {@code percent} hundredths of a retry added. */
    RetryBudget deposit(int percent) {
        return new RetryBudget(Math.min(MAX_PERCENT, balancePercent + percent));
    }

    /** Returns whether the balance pays for one retry. */
    boolean allowsRetry() {
        return balancePercent >= ATTEMPT_PERCENT;
    }

    /** Returns this budget less one retry. */
    RetryBudget withdraw() {
        return new RetryBudget(balancePercent - ATTEMPT_PERCENT);
    }
}
