package org.acaciaport.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Which data centres have a leader that renews its leadership.
 *
 * <p>Safe for use by several threads.
 */
final class LeaderLiveness {
    /** A leadership counts as lapsed this many terms after the last renewal that was seen. */
    private static final int LEASES_UNTIL_DEAD = 2;

    private final Map<String, Long> deadlinesMillis = new ConcurrentHashMap<>();
    private final Clock clock;
    private final long leaseMillis;

    LeaderLiveness(Clock clock, long leaseMillis) {
        this.clock = clock;
        this.leaseMillis = leaseMillis;
    }

    /** Notes that the log shows a new or renewed leadership of {@code dataCentre}. */
    void recordRenewal(String dataCentre) {
        deadlinesMillis.put(dataCentre, clock.millis() + LEASES_UNTIL_DEAD * leaseMillis);
    }

    boolean hasLiveLeader(String dataCentre) {
        return deadlinesMillis.getOrDefault(dataCentre, Long.MIN_VALUE) > clock.millis();
    }
}
