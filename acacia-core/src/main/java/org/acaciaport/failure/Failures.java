package org.acaciaport.failure;

/**
 * Static methods that describe exceptions for fields of log lines.
 *
 * <p>Thread-safe.
 */
public final class Failures {
    /** Longest reason, in characters. */
    private static final int MAX_REASON_CHARS = 300;

    private static final String OWN_PACKAGES = "org.acaciaport.";

    private Failures() {}

    /** Returns the type and the message of {@code thrown} as one line of limited length. */
    public static String reasonOf(Throwable thrown) {
        String line = thrown.toString().replaceAll("\\s+", " ");
        return line.length() <= MAX_REASON_CHARS ? line : line.substring(0, MAX_REASON_CHARS) + "...";
    }

    /** Returns the innermost position of {@code thrown} in this program's own code, or {@code unknown}. */
    public static String locationOf(Throwable thrown) {
        for (StackTraceElement element : thrown.getStackTrace()) {
            if (element.getClassName().startsWith(OWN_PACKAGES)) {
                return element.getFileName() + ":" + element.getLineNumber();
            }
        }
        return "unknown";
    }
}
