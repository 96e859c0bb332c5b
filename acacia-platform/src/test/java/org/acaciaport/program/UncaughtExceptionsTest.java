package org.acaciaport.program;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that the end of a thread by an exception is logged. */
final class UncaughtExceptionsTest {
    private final PrintStream originalOut = System.out;
    private final Thread.UncaughtExceptionHandler originalHandler = Thread.getDefaultUncaughtExceptionHandler();

    @AfterEach
    void restore() {
        Logs.close();
        System.setOut(originalOut);
        Thread.setDefaultUncaughtExceptionHandler(originalHandler);
    }

    private static String logOf(Thread thread) throws InterruptedException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        Logs.configure(new LogSettings("text", "info"));
        thread.start();
        thread.join();
        Logs.close();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static void fail() {
        throw new IllegalStateException("first line\nsecond line " + "x".repeat(10_000));
    }

    /** Guards against a thread that ends without a line in the log. */
    @Test
    void theExceptionThatEndsAThreadIsLogged() throws Exception {
        String log = logOf(Thread.ofVirtual().name("odd").unstarted(UncaughtExceptionsTest::fail));
        assertThat(log)
                .contains(
                        "background: task=odd outcome=ended reason=java.lang.IllegalStateException: first line second");
        assertThat(log).contains("at=UncaughtExceptionsTest.java:");
        assertThat(log.length()).isLessThan(1_000);
    }

    /** Guards against an end of a thread without a name that names no task. */
    @Test
    void aThreadWithoutANameIsCalledUnnamed() throws Exception {
        String log = logOf(Thread.ofVirtual().unstarted(UncaughtExceptionsTest::fail));
        assertThat(log).contains("background: task=unnamed outcome=ended");
    }
}
