package org.acaciaport.node;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests how long the leases of a target count as granted. */
final class TargetLeaseTest {
    private static final long MAX_MILLIS = 10_000;

    /** A reading of the target's clock, in milliseconds. */
    private static final long CLOCK_MILLIS = 5_000;

    private final TargetLease lease = new TargetLease(System.nanoTime() + TimeUnit.HOURS.toNanos(1), false, MAX_MILLIS);

    private long remainingMillis() {
        return (lease.suspend() - System.nanoTime()) / Clocks.NANOS_PER_MILLI;
    }

    /**
     * Guards against two runs of a task at a time (TWICE): a lease that was requested on the clock of a former
     * incarnation was granted by the next one for as long as that grants any.
     */
    @Test
    void aLeaseForAFormerIncarnationMayBeTheLongest() {
        lease.recordRestart(CLOCK_MILLIS);
        assertThat(remainingMillis()).isAtLeast(MAX_MILLIS);
        lease.resume();
        lease.recordRestart(2 * CLOCK_MILLIS);
        assertThat(remainingMillis()).isAtLeast(MAX_MILLIS);
        assertThat(lease.isExpired()).isFalse();
    }

    /** Guards against tasks that wait longer than needed for a silent target: leases are requested for less time. */
    @Test
    void aLeaseLastsAsLongAsRequestedOnceThoseBeforeAreOver() {
        lease.recordRestart(CLOCK_MILLIS);
        lease.recordClock(CLOCK_MILLIS + MAX_MILLIS);
        lease.nextLeaseEndMillis();
        assertThat(remainingMillis()).isLessThan(MAX_MILLIS);
    }
}
