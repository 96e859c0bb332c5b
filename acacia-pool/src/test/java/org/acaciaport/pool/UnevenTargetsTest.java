package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of placement on targets of unequal speed: urgent work with little slack beside work with much, as in stock
 * planning, where a third of the targets runs at 0.6 of the nominal speed and a third at 1.6.
 */
final class UnevenTargetsTest {
    private static final int TARGETS = 24;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final long TASK_MILLIS = 5_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final int MEASURED_RUNS = 3;
    private static final Job.Terms URGENT = new Job.Terms(0, 2, 1.5, 250);

    private final PoolFixture fixture = new PoolFixture();

    /** The speed of each target. */
    private final Map<String, Double> speeds = new HashMap<>();

    @BeforeEach
    void addTargets() {
        for (int i = 0; i < TARGETS; i++) {
            String id = "t%02d".formatted(i);
            speeds.put(id, SPEEDS[i % SPEEDS.length]);
            fixture.addTarget(id, "r" + i / 8);
        }
    }

    /** Runs {@value #MEASURED_RUNS} tasks on every target, one after the other, and reports their progress. */
    private void measureTargets() {
        for (int i = 0; i < MEASURED_RUNS; i++) {
            runOnAllTargets("measure" + i);
        }
    }

    private void runOnAllTargets(String id) {
        fixture.submit(fixture.job(id, "x", 1, PoolFixture.independentTasks(TARGETS, 8)));
        Map<TaskId, TargetCommand.Start> tasks = new HashMap<>(fixture.running);
        assertThat(tasks).hasSize(TARGETS);
        long elapsed = 0;
        while (!tasks.isEmpty()) {
            fixture.advance(REPORT_INTERVAL_MILLIS);
            elapsed += REPORT_INTERVAL_MILLIS;
            for (TargetCommand.Start start : new ArrayList<>(tasks.values())) {
                double progress = elapsed * speeds.get(start.target()) / TASK_MILLIS;
                if (progress >= 1) {
                    tasks.remove(start.task());
                    fixture.endRun(start.task(), TargetReport.EndReason.DONE);
                } else {
                    fixture.reportProgress(start, (int) (100 * progress));
                }
            }
        }
    }

    private Set<String> targetsOf(String job) {
        Set<String> targets = new HashSet<>();
        for (TargetCommand.Start start : fixture.running.values()) {
            if (start.task().job().equals(job)) {
                targets.add(start.target());
            }
        }
        return targets;
    }

    private Job urgent(String id, Step... steps) {
        return new Job(
                id,
                "queue",
                PoolFixture.SERVICE,
                "x",
                URGENT,
                "payload",
                List.of(steps),
                Job.Schedule.NOW,
                fixture.now().wallClockMillis());
    }

    /** Guards against urgent gangs that are late because one of their targets is too slow. */
    @Test
    void anUrgentGangAvoidsSlowTargets() {
        measureTargets();
        fixture.submit(urgent("urgent", PoolFixture.gang(5, 8, true)));
        assertThat(targetsOf("urgent")).hasSize(5);
        for (String target : targetsOf("urgent")) {
            assertThat(speeds.get(target)).isAtLeast(1.0);
        }
    }

    /** Guards against fast targets that are used up by work that a slow one would complete in time. */
    @Test
    void workWithSlackTakesSlowTargetsOnceUrgentWorkNeedsFastOnes() {
        measureTargets();
        fixture.submit(urgent("urgent", PoolFixture.gang(2, 8, false)));
        fixture.submit(fixture.job("deferrable", "x", 2, PoolFixture.independentTasks(8, 8)));
        assertThat(targetsOf("deferrable")).hasSize(8);
        for (String target : targetsOf("deferrable")) {
            assertThat(speeds.get(target)).isEqualTo(0.6);
        }
    }

    /** Guards against work with slack that waits for slow targets while fast ones are idle. */
    @Test
    void workWithSlackTakesFastTargetsWhenSlowOnesAreFull() {
        measureTargets();
        fixture.submit(fixture.job("deferrable", "x", 2, PoolFixture.independentTasks(TARGETS, 8)));
        assertThat(targetsOf("deferrable")).hasSize(TARGETS);
    }

    /** Guards against urgent work that waits for fast targets until it is late on any, or for ever. */
    @Test
    void anUrgentGangThatNoFastTargetsCanHostStartsOnSlowOnes() {
        measureTargets();
        fixture.submit(urgent("urgent", PoolFixture.gang(TARGETS, 8, false)));
        assertThat(targetsOf("urgent")).hasSize(TARGETS);
    }

    /** Guards against a guarantee that is not honoured in time because only slow targets are free. */
    @Test
    void aClaimWaitsForFastTargetsForABoundedTime() {
        measureTargets();
        fixture.setGuarantee("x", 8);
        fixture.submit(fixture.job("busy", "y", 0, PoolFixture.independentTasks(TARGETS, 8)));
        for (TargetCommand.Start start : List.copyOf(fixture.running.values())) {
            if (speeds.get(start.target()) == 0.6) {
                fixture.endRun(start.task(), TargetReport.EndReason.DONE);
            }
        }
        fixture.submit(urgent("claim", PoolFixture.gang(1, 8, false)));
        fixture.advance(1_100);
        fixture.advance(50);
        fixture.completeStops();
        fixture.advance(50);
        assertThat(targetsOf("claim")).hasSize(1);
    }

    /** Guards against a claim at its account's limit that stops urgent work of others only for a faster target. */
    @Test
    void aClaimAtItsLimitStopsOnlyItsOwnAccountsWorkForAFasterTarget() {
        measureTargets();
        fixture.submit(fixture.job("busy", "y", 0, PoolFixture.independentTasks(TARGETS, 8)));
        TargetCommand.Start slow = fixture.running.values().stream()
                .filter(start -> speeds.get(start.target()) == 0.6)
                .findFirst()
                .orElseThrow();
        fixture.endRun(slow.task(), TargetReport.EndReason.DONE);
        fixture.submit(fixture.job("own", "x", 2, PoolFixture.independentTasks(1, 8)));
        assertThat(targetsOf("own")).containsExactly(slow.target());
        AccountTerms terms = new AccountTerms(8, 0, new Resources(0, 0, 8));
        fixture.pool.configure(new PoolSettings(Map.of("x", terms), Set.of(), Map.of()));
        fixture.submit(urgent("claim", PoolFixture.gang(1, 8, false)));
        for (int elapsed = 0; elapsed < LimitFixture.MAX_CLAIM_MILLIS; elapsed += 100) {
            fixture.stops.forEach(stop -> assertThat(stop.task().job()).isEqualTo("own"));
            fixture.completeStops();
            fixture.advance(100);
        }
        assertThat(targetsOf("claim")).containsExactly(slow.target());
    }

    /** Guards against decisions that change on equally fast targets. */
    @Test
    void equallyFastTargetsAreFilledAsBefore() {
        speeds.replaceAll((target, speed) -> 1.0);
        measureTargets();
        fixture.submit(fixture.job("deferrable", "x", 2, PoolFixture.independentTasks(3, 1)));
        fixture.submit(urgent("urgent", PoolFixture.gang(1, 1, false)));
        assertThat(targetsOf("urgent")).isEqualTo(targetsOf("deferrable"));
    }
}
