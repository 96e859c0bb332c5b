package org.acaciaport.node;

import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Pool;

/**
 * Removes ended jobs from the pool and the log once their states need not be shown any more.
 *
 * <p>Not thread-safe; confined to the thread of the term.
 */
final class EndedJobs {
    /** How long the state of an ended job can be queried, in milliseconds. */
    private static final long RETENTION_MILLIS = 180_000;

    /** Interval between removals, in milliseconds. */
    private static final long INTERVAL_MILLIS = 5_000;

    private final Pool pool;
    private final TermWriter writer;
    private long lastRemovalNanos;

    EndedJobs(Pool pool, TermWriter writer, ClockReading now) {
        this.pool = pool;
        this.writer = writer;
        lastRemovalNanos = now.monotonicNanos();
    }

    /** Removes the jobs whose retention period has passed; has no effect before the next removal is due. */
    void removeOld(ClockReading now) {
        if (now.millisSince(lastRemovalNanos) < INTERVAL_MILLIS) {
            return;
        }
        lastRemovalNanos = now.monotonicNanos();
        for (String id : pool.jobsEndedBefore(now.wallClockMillis() - RETENTION_MILLIS)) {
            pool.removeJob(id);
            writer.remove(id);
        }
    }
}
