package org.acaciaport.scheduler;

import java.util.concurrent.TimeUnit;

/**
 * The time of this process, in milliseconds. Starts at the wall clock's reading and from then on follows the monotonic
 * clock, so it neither jumps nor stops while the process is paused.
 *
 * <p>Safe for use by several threads.
 */
final class Clock {
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    long millis() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
