package org.acaciaport.gateway;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * A token bucket that limits retries to a fraction of the submissions, so that retries do not multiply the load during
 * an outage.
 *
 * <p>Each submission deposits a fifth of the price of one retry. The bucket starts full, which permits a burst of
 * retries.
 *
 * <p>Thread-safe.
 */
final class RetryBudget {
    private static final int MAX_TOKENS = 10_000;
    private static final int TOKENS_PER_SUBMISSION = 20;
    private static final int TOKENS_PER_RETRY = 100;

    private final AtomicInteger tokens = new AtomicInteger(MAX_TOKENS);

    /** Adds the tokens earned by one submission. */
    void deposit() {
        tokens.updateAndGet(balance -> Math.min(MAX_TOKENS, balance + TOKENS_PER_SUBMISSION));
    }

    /** Withdraws the tokens for one retry; returns false and leaves the balance unchanged if there are too few. */
    boolean tryWithdraw() {
        return tokens.getAndUpdate(balance -> balance >= TOKENS_PER_RETRY ? balance - TOKENS_PER_RETRY : balance)
                >= TOKENS_PER_RETRY;
    }
}
