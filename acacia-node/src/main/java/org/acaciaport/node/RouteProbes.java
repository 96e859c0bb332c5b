package org.acaciaport.node;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Decides when to probe a failing route, and runs probes in the background, one at a time.
 *
 * <p>Thread-safe.
 */
final class RouteProbes {
    /** Time between the end of a probe and the start of the next one, in milliseconds. */
    private static final long INTERVAL_MILLIS = 400;

    private final AtomicBoolean running = new AtomicBoolean();

    /** Earliest time of the next probe, as a value of {@link System#nanoTime}. */
    private volatile long nextNanos = System.nanoTime();

    /** Returns whether the next probe may start. */
    boolean isDue() {
        return System.nanoTime() - nextNanos >= 0 && !running.get();
    }

    /** Returns the time until the next probe may start, in milliseconds; the interval while one is running. */
    long delayMillis() {
        return running.get() ? INTERVAL_MILLIS : Math.max(0, Clocks.millisUntil(nextNanos));
    }

    /** Puts off the next probe by the interval. */
    void postpone() {
        nextNanos = Clocks.deadlineAfter(INTERVAL_MILLIS);
    }

    /** Runs {@code probe} in the background, unless one is running already. */
    void start(Runnable probe) {
        if (running.compareAndSet(false, true)) {
            Thread.ofVirtual().name("probe-log").start(() -> run(probe));
        }
    }

    private void run(Runnable probe) {
        try {
            BackgroundTasks.run("probe-log", probe, reason -> {});
        } finally {
            postpone();
            running.set(false);
        }
    }
}
