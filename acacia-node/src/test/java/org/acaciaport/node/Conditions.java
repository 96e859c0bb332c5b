package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Static methods for tests that wait for other threads. */
final class Conditions {
    /** How long a condition may take to hold, in seconds; long, as the machine may be busy. */
    private static final long TIMEOUT_SECONDS = 20;

    private Conditions() {}

    /** Waits until {@code condition} holds; fails if it does not in time. */
    static void await(BooleanSupplier condition) {
        long deadline = Clocks.deadlineAfter(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        while (!condition.getAsBoolean() && Clocks.millisUntil(deadline) > 0) {
            Clocks.sleep(1);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
