package org.acaciaport.gateway;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds retries to a share of the requests, so that failures do not multiply the load.
 *
 * <p>Safe for use by several threads.
 */
final class RetryTokens {
    private static final int MOST = 10_000;
    private static final int EARNED = 20;
    private static final int COST = 100;

    private final AtomicInteger balance = new AtomicInteger(MOST);

    /** Notes a new request. */
    void earn() {
        balance.updateAndGet(b -> Math.min(MOST, b + EARNED));
    }

    /** Takes what one retry costs; returns whether there was enough. */
    boolean spend() {
        return balance.getAndUpdate(b -> b >= COST ? b - COST : b) >= COST;
    }
}
