package org.acaciaport.program;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that closing flushes queued lines, and that a blocked output never blocks the threads that log. */
final class LogsTest {
    private static final int LINES_BEYOND_QUEUE = 20_000;

    private final PrintStream originalOut = System.out;

    @AfterEach
    void restoreOutput() {
        Logs.close();
        System.setOut(originalOut);
    }

    /** Guards against losing the last lines: the process exits while they are still in the queue. */
    @Test
    void closeWritesQueuedLines() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        Logs.configure(new LogSettings("text", "info"));
        for (int i = 0; i < 100; i++) {
            Logger.getLogger("test").infof("line=%s", i);
        }
        Logs.close();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("line=99");
    }

    @Test
    void blockedOutputDropsLinesWithoutBlocking() {
        CountDownLatch unblocked = new CountDownLatch(1);
        System.setOut(new PrintStream(new BlockedOutput(unblocked), true, StandardCharsets.UTF_8));
        Logs.configure(new LogSettings("text", "info"));
        long dropped = Logs.dropped();
        for (int i = 0; i < LINES_BEYOND_QUEUE; i++) {
            Logger.getLogger("test").infof("line=%s", i);
        }
        assertThat(Logs.dropped()).isGreaterThan(dropped);
        unblocked.countDown();
    }

    /** Blocks every write until the latch is released. */
    private static final class BlockedOutput extends OutputStream {
        private final CountDownLatch unblocked;

        BlockedOutput(CountDownLatch unblocked) {
            this.unblocked = unblocked;
        }

        @Override
        public void write(int b) {
            try {
                unblocked.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
