package org.acaciaport.program;

import org.acaciaport.failure.Failures;
import org.jboss.logging.Logger;

/**
 * Logs the exceptions that end threads, so that none ends without a line in the log.
 *
 * <p>Thread-safe. The thread ends nevertheless: work that must go on is to handle its exceptions itself.
 */
final class UncaughtExceptions implements Thread.UncaughtExceptionHandler {
    private static final Logger LOG = Logger.getLogger(UncaughtExceptions.class);

    private UncaughtExceptions() {}

    /** Logs the exceptions of all threads that have no handler of their own, from now on. */
    static void logAll() {
        Thread.setDefaultUncaughtExceptionHandler(new UncaughtExceptions());
    }

    @Override
    public void uncaughtException(Thread thread, Throwable thrown) {
        String task = thread.getName().isEmpty() ? "unnamed" : thread.getName();
        LOG.errorf(
                "background: task=%s outcome=ended reason=%s at=%s",
                task, Failures.reasonOf(thrown), Failures.locationOf(thrown));
    }
}
