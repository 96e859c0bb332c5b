import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the case. Thread-safe. */
final class Journal implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Journal(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String format, Object... arguments) {
        out.printf("%8.3f  %s%n", seconds(), String.format(format, arguments));
    }

    /** Returns the seconds since the start of the case. */
    double seconds() {
        return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
