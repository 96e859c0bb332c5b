package org.acaciaport.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Which data centres have a leader that renews its leadership.
 *
 * <p>Safe for use by several threads.
 */
final class LiveCells {
    /** A leadership counts as lapsed this many terms after the last renewal that was seen. */
    private static final int TERMS = 2;

    private final Map<String, Long> deadlines = new ConcurrentHashMap<>();
    private final Clock clock;
    private final long termMillis;

    LiveCells(Clock clock, long termMillis) {
        this.clock = clock;
        this.termMillis = termMillis;
    }

    /** Notes that the log shows a new or renewed leadership of {@code dataCentre}. */
    void renewed(String dataCentre) {
        deadlines.put(dataCentre, clock.millis() + TERMS * termMillis);
    }

    boolean live(String dataCentre) {
        return deadlines.getOrDefault(dataCentre, Long.MIN_VALUE) > clock.millis();
    }
}
