package org.acaciaport.program;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that a task that throws is repeated. */
final class PeriodicTasksTest {
    private static final long TIMEOUT_SECONDS = 20;

    /** Guards against a scheduler that neither renews nor claims the leadership again after one exception. */
    @Test
    void aTaskThatThrowsIsRepeated() throws Exception {
        CountDownLatch runs = new CountDownLatch(3);
        Runnable task = PeriodicTasks.logged("odd", () -> {
            runs.countDown();
            throw new IllegalStateException("cannot do it");
        });
        try (ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor()) {
            timer.scheduleAtFixedRate(task, 0, 1, TimeUnit.MILLISECONDS);
            assertThat(runs.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
            timer.shutdownNow();
        }
    }
}
