package org.acaciaport.program;

import org.acaciaport.failure.Failures;
import org.jboss.logging.Logger;

/**
 * Static methods for tasks that an executor repeats. An executor repeats a task no more once it has thrown, and tells
 * nobody.
 *
 * <p>Thread-safe.
 */
public final class PeriodicTasks {
    private static final Logger LOG = Logger.getLogger(PeriodicTasks.class);

    private PeriodicTasks() {}

    /** Returns a task that does {@code work} and logs what it throws, so that it is repeated nevertheless. */
    public static Runnable logged(String task, Runnable work) {
        return () -> {
            try {
                work.run();
            } catch (RuntimeException e) {
                LOG.errorf(
                        "background: task=%s outcome=failed reason=%s at=%s",
                        task, Failures.reasonOf(e), Failures.locationOf(e));
            }
        };
    }
}
