package org.acaciaport.node;

import java.util.function.Consumer;
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

    /** Longest reason in a log line, in characters. */
    private static final int MAX_REASON_CHARS = 300;

    private static final String OWN_PACKAGES = "org.acaciaport.";

    private BackgroundTasks() {}

    /** Runs {@code work}; if it throws, logs that and passes the reason to {@code onFailure}. */
    static void run(String task, Runnable work, Consumer<String> onFailure) {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            String reason = describe(e);
            LOG.errorf("background: task=%s outcome=failed reason=%s at=%s", task, reason, location(e));
            onFailure.accept(reason);
        }
    }

    /** Returns the type and the message of {@code thrown} as one line of limited length. */
    static String describe(Throwable thrown) {
        String line = thrown.toString().replaceAll("\\s+", " ");
        return line.length() <= MAX_REASON_CHARS ? line : line.substring(0, MAX_REASON_CHARS) + "...";
    }

    /** Returns the innermost position in this program's own code, or {@code unknown}. */
    private static String location(Throwable thrown) {
        for (StackTraceElement element : thrown.getStackTrace()) {
            if (element.getClassName().startsWith(OWN_PACKAGES)) {
                return element.getFileName() + ":" + element.getLineNumber();
            }
        }
        return "unknown";
    }
}
