package org.acaciaport.decision;

/**
 * A balance that limits how many attempts of one profile may be retries.
 *
 * <p>Immutable. Every started attempt earns a share of a retry, and every retry spends a whole one. The balance never
 * exceeds {@value #MAX_PERCENT} percent of an attempt, so that a burst of failures causes only a bounded number of
 * retries.
 *
 * @param balancePercent balance in hundredths of an attempt
 */
record RetryBudget(int balancePercent) {
    private static final int MAX_PERCENT = 1_000;
    private static final int ATTEMPT_PERCENT = 100;

    static final RetryBudget FULL = new RetryBudget(MAX_PERCENT);

    RetryBudget earn(int earned) {
        return new RetryBudget(Math.min(MAX_PERCENT, balancePercent + earned));
    }

    boolean allowsRetry() {
        return balancePercent >= ATTEMPT_PERCENT;
    }

    RetryBudget spend() {
        return new RetryBudget(balancePercent - ATTEMPT_PERCENT);
    }
}
