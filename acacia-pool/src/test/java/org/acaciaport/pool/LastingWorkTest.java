package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.acaciaport.pool.TargetReport.EndReason;
import org.junit.jupiter.api.Test;

/** Tests that tasks which last run again soon after a failure, wherever there is room. */
final class LastingWorkTest {
    /** Time after its last run by which such a task has to run again where there is room, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 9_000;

    private static final int PASS_MILLIS = 50;
    private static final int LASTING_JOBS = 5;

    private final PoolFixture fixture = new PoolFixture();

    private static Step lasting(String label, long accelerators) {
        return new Step(
                1,
                new Resources(1_000, 1_000, accelerators),
                5_000,
                List.of(),
                new Step.Constraints(label, "", 0, false),
                new Step.Mode(false, false, false, true, false, 0));
    }

    /** Registers a target that is the only one with the label {@code label}. */
    private void addTarget(String id, String label) {
        fixture.pool.register(new TargetInfo(
                id,
                PoolFixture.SERVICE,
                "address",
                "dc",
                "r1",
                Set.of(label),
                PoolFixture.TARGET_CAPACITY,
                false,
                0,
                1));
    }

    /** Passes until each job has had {@code starts} starts, and returns the longest pause after its end. */
    private long longestPauseMillis(Map<String, Long> ends, int starts) {
        long longest = 0;
        for (Map.Entry<String, Long> end : ends.entrySet()) {
            while (fixture.startsOf(end.getKey()).size() < starts
                    && fixture.now().wallClockMillis() - end.getValue() <= 2 * MAX_PAUSE_MILLIS) {
                fixture.pass(PASS_MILLIS);
            }
            longest = Math.max(longest, fixture.now().wallClockMillis() - end.getValue());
        }
        return longest;
    }

    private long fail(String job) {
        fixture.endRun(PoolFixture.taskId(job, 0), EndReason.FAILED);
        return fixture.now().wallClockMillis();
    }

    /** Guards against tasks that wait (LOST) for the only target that may run them, as several have failed there. */
    @Test
    void failuresOfSeveralJobsDoNotKeepThemOffTheirOnlyTarget() {
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        addTarget("t1", "only");
        for (int i = 0; i < LASTING_JOBS; i++) {
            fixture.submit(fixture.job("job" + i, "x", 1, lasting("only", 1)));
        }
        assertThat(fixture.running).hasSize(LASTING_JOBS);
        Map<String, Long> ends = new TreeMap<>();
        for (int i = 0; i < LASTING_JOBS; i++) {
            ends.put("job" + i, fail("job" + i));
            fixture.pass(200);
        }
        assertThat(longestPauseMillis(ends, 2)).isAtMost(MAX_PAUSE_MILLIS);
    }

    /** Guards against a task that waits (LOST) for others while the target on which it failed is the only one free. */
    @Test
    void aFailureDoesNotKeepAJobOffTheOnlyTargetWithRoom() {
        fixture.occupyTargets(4);
        fixture.addTarget("t4", "r1");
        fixture.submit(fixture.job("service", "x", 1, lasting("", 8)));
        assertThat(fixture.startsOf("service")).hasSize(1);
        Map<String, Long> ends = Map.of("service", fail("service"));
        assertThat(longestPauseMillis(ends, 2)).isAtMost(MAX_PAUSE_MILLIS);
    }
}
