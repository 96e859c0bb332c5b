package org.acaciaport.scheduler;

import java.util.concurrent.TimeUnit;

/**
 * A clock of this process, in milliseconds since the Unix epoch. It is set from the wall clock once and then advances
 * with {@link System#nanoTime}, so adjustments of the wall clock don't affect it and it keeps advancing while the
 * process is paused.
 *
 * <p>Thread-safe.
 */
final class Clock {
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long millis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
