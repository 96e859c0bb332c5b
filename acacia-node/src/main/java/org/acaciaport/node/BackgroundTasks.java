package org.acaciaport.node;

import java.util.function.Consumer;
import org.acaciaport.failure.Failures;
import org.jboss.logging.Logger;

/**
 * Static methods that run tasks of threads in the background. An exception that a task does not expect is logged with
 * the name of the task, and its owner hears of it, so that no thread ends and no work waits without a trace.
 *
 * <p>Thread-safe. The tasks pause themselves before they try again.
 */
final class BackgroundTasks {
    private static final Logger LOG = Logger.getLogger(BackgroundTasks.class);

    /** Pause after a task that repeats itself has failed, in milliseconds; it bounds the log lines of each task. */
    static final long RETRY_DELAY_MILLIS = 1_000;

    private BackgroundTasks() {}

    /** Runs {@code work}; if it throws, logs that and passes the reason to {@code onFailure}. */
    static void run(String task, Runnable work, Consumer<String> onFailure) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            String reason = Failures.reasonOf(e);
            LOG.errorf("background: task=%s outcome=failed reason=%s at=%s", task, reason, Failures.locationOf(e));
            onFailure.accept(reason);
        }
    }
}
