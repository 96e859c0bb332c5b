package org.acaciaport.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks which data centres have a live leader, judged by the leadership renewals on the log.
 *
 * <p>Thread-safe.
 */
final class LeaderLiveness {
    /** Lease durations without a renewal after which a leader counts as dead. */
    private static final int LEASES_UNTIL_DEAD = 2;

    private final Map<String, Long> deadlinesMillis = new ConcurrentHashMap<>();
    private final Clock clock;
    private final long leaseMillis;

    LeaderLiveness(Clock clock, long leaseMillis) {
        this.clock = clock;
        this.leaseMillis = leaseMillis;
    }

    /** Records that the log shows a new or renewed leadership of {@code dataCentre}. */
    void recordRenewal(String dataCentre) {
        deadlinesMillis.put(dataCentre, clock.millis() + LEASES_UNTIL_DEAD * leaseMillis);
    }

    /** Returns whether {@code dataCentre} has a leader that renewed its leadership recently. */
    boolean hasLiveLeader(String dataCentre) {
        return deadlinesMillis.getOrDefault(dataCentre, Long.MIN_VALUE) > clock.millis();
    }
}
