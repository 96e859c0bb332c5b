package org.acaciaport.decision;

/**
 * How many more attempts of one profile may be retries.
 *
 * <p>Immutable. The balance never exceeds {@value #MOST} percent of an attempt, so a burst of failures cannot multiply.
 *
 * @param percent balance in hundredths of an attempt
 */
record RetryBudget(int percent) {
    private static final int MOST = 1_000;
    private static final int ATTEMPT = 100;

    static final RetryBudget FULL = new RetryBudget(MOST);

    RetryBudget earn(int earned) {
        return new RetryBudget(Math.min(MOST, percent + earned));
    }

    boolean allows() {
        return percent >= ATTEMPT;
    }

    RetryBudget spend() {
        return new RetryBudget(percent - ATTEMPT);
    }
}
