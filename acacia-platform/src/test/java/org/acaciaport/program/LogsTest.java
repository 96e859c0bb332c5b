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

/** Lines reach standard output in order, and a reader that does not read blocks nobody. */
final class LogsTest {
    private static final int MORE_LINES_THAN_WAIT = 20_000;

    private final PrintStream before = System.out;

    @AfterEach
    void restore() {
        Logs.close();
        System.setOut(before);
    }

    /** The last lines used to be lost, since the process ended while they waited. */
    @Test
    void linesThatWaitAreWrittenAtTheEnd() {
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
    void aReaderThatDoesNotReadCostsLinesAndBlocksNobody() {
        CountDownLatch read = new CountDownLatch(1);
        System.setOut(new PrintStream(new Blocked(read), true, StandardCharsets.UTF_8));
        Logs.configure(new LogSettings("text", "info"));
        long dropped = Logs.dropped();
        for (int i = 0; i < MORE_LINES_THAN_WAIT; i++) {
            Logger.getLogger("test").infof("line=%s", i);
        }
        assertThat(Logs.dropped()).isGreaterThan(dropped);
        read.countDown();
    }

    /** Takes nothing until the latch opens. */
    private static final class Blocked extends OutputStream {
        private final CountDownLatch open;

        Blocked(CountDownLatch open) {
            this.open = open;
        }

        @Override
        public void write(int b) {
            try {
                open.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
