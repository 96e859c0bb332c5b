package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how work of the highest priority starts although its account is at its limit. */
final class ClaimAtLimitTest {
    /** Time from a stop command until the run has ended on a target that answers, in milliseconds. */
    private static final int STOP_MILLIS = 250;

    private static final int PASS_INTERVAL_MILLIS = 50;

    private final LimitFixture limits = new LimitFixture();
    private final PoolFixture fixture = limits.pool;

    /** Passes time in which all targets except {@code silent} report and end the runs that they are told to stop. */
    private void passWithSilentTarget(String silent, int elapsedMillis) {
        for (int elapsed = 0; elapsed < elapsedMillis; elapsed += STOP_MILLIS) {
            List<TargetCommand.Stop> pending = List.copyOf(fixture.stops);
            fixture.pass(STOP_MILLIS);
            for (TargetCommand.Stop stop : pending) {
                if (!stop.target().equals(silent)) {
                    fixture.endRun(stop.task(), TargetReport.EndReason.STOPPED);
                }
            }
            for (int i = 0; i < 4; i++) {
                if (!silent.equals("t" + i)) {
                    fixture.report("t" + i);
                }
            }
        }
    }

    /** Guards against a claim that waits for the lease of a silent target while other own work could be stopped. */
    @Test
    void aClaimDoesNotWaitForAStopOnASilentTarget() {
        limits.setTerms("a", 8, 24);
        limits.addTargets(4);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(3, 8)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        passWithSilentTarget(fixture.stops.get(0).target(), LimitFixture.MAX_CLAIM_MILLIS);
        assertThat(fixture.startsOf("claim")).hasSize(1);
        assertThat(fixture.stops).hasSize(2);
    }

    /** Guards against a claim that arrives while a stop on a silent target is pending and counts on its end. */
    @Test
    void aClaimDoesNotCountOnAnEarlierStopOnASilentTarget() {
        limits.setTerms("a", 8, 24);
        limits.addTargets(4);
        fixture.submit(fixture.job("gone", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(2, 8)));
        String silent = fixture.startsOf("gone").get(0).target();
        fixture.pool.cancel("gone", fixture.now());
        passWithSilentTarget(silent, 1_000);
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        passWithSilentTarget(silent, 500);
        assertThat(fixture.startsOf("claim")).hasSize(1);
    }

    /** Guards against victims on a target that does not answer, although others would end at once. */
    @Test
    void victimsOnTargetsThatAnswerGoFirst() {
        limits.setTerms("a", 8, 16);
        limits.addTargets(4);
        fixture.submit(fixture.job("dear", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.pass(2_000);
        fixture.submit(fixture.job("cheap", "a", 2, PoolFixture.independentTasks(1, 8)));
        String silent = fixture.startsOf("cheap").get(0).target();
        passWithSilentTarget(silent, 1_500);
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("dear");
    }

    /** Guards against a large unit for which there is no room and which keeps small ones from being searched. */
    @Test
    void aUnitWithoutRoomDoesNotBlockASmallerOneOfItsAccount() {
        limits.setTerms("a", 16, 16);
        limits.addTargets(3);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(16, 1)));
        fixture.pool.submit(fixture.job("a-large", "a", 0, PoolFixture.gang(1, 9, false)), fixture.now());
        fixture.pool.submit(fixture.job("b-small", "a", 0, PoolFixture.gang(1, 4, false)), fixture.now());
        for (int i = 0; i < 5; i++) {
            fixture.advance(2 * PASS_INTERVAL_MILLIS);
        }
        assertThat(fixture.stops).hasSize(4);
        fixture.completeStops();
        assertThat(limits.runningOf("b-small")).isEqualTo(1);
    }

    /** Guards against own work of lower priority that was reserved earlier and takes what a claim could start in. */
    @Test
    void aClaimStartsBeforeOwnWorkThatWasReservedEarlier() {
        limits.setTerms("a", 8, 20);
        limits.addTargets(3);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("gone", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.pool.cancel("gone", fixture.now());
        fixture.pool.cancel("other", fixture.now());
        fixture.submit(fixture.job("low", "a", 2, PoolFixture.independentTasks(1, 4)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 4)));
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(2);
        fixture.endRun(PoolFixture.taskId("other", 0), TargetReport.EndReason.STOPPED);
        assertThat(limits.runningOf("claim")).isEqualTo(1);
        assertThat(limits.runningOf("low")).isEqualTo(0);
        fixture.endRun(PoolFixture.taskId("gone", 0), TargetReport.EndReason.STOPPED);
        assertThat(limits.runningOf("low")).isEqualTo(1);
    }

    /** Guards against free resources that each single task of a step holds anew for stops on a silent target. */
    @Test
    void theStartOfOneTaskDoesNotLetItsSiblingsHoldResourcesAgain() {
        limits.setTerms("a", 8, 8);
        limits.addTargets(3);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(2, 4)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(2, 4)));
        assertThat(fixture.stops).hasSize(2);
        fixture.pass(2_000);
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(0);
        fixture.endRun(fixture.stops.get(0).task(), TargetReport.EndReason.STOPPED);
        assertThat(limits.runningOf("claim")).isEqualTo(1);
        for (int i = 0; i < 10; i++) {
            fixture.advance(2 * PASS_INTERVAL_MILLIS);
            assertThat(fixture.pool.backlog().reserved()).isEqualTo(0);
        }
        fixture.endRun(fixture.stops.get(1).task(), TargetReport.EndReason.STOPPED);
        assertThat(limits.runningOf("claim")).isEqualTo(2);
    }

    /**
     * Guards against a claim that waits for deferrable work of its own account which fills the limit, and against
     * stops of other accounts' work for it, or of more than it needs.
     */
    @Test
    void aClaimDisplacesJustEnoughOfItsOwnAccountsWork() {
        limits.setTerms("a", 8, 16);
        limits.addTargets(4);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(16, 1)));
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(8, 1)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.gang(2, 4, false)));
        fixture.pass(200);
        assertThat(fixture.stops).hasSize(8);
        fixture.stops.forEach(stop -> assertThat(stop.task().job()).isEqualTo("own"));
        assertThat(fixture.startsOf("claim")).isEmpty();
        fixture.completeStops();
        assertThat(limits.runningOf("claim")).isEqualTo(2);
        fixture.pass(LimitFixture.MAX_CLAIM_MILLIS);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against a claim whose own account's work is scattered, while the pool is full of other work. */
    @Test
    void aClaimInAFullPoolStartsInTimeAlthoughItsOwnWorkFillsItsLimit() {
        limits.setTerms("a", 16, 16);
        limits.addTargets(4);
        for (int i = 0; i < 4; i++) {
            fixture.submit(fixture.job("own" + i, "a", 2, PoolFixture.independentTasks(1, 4)));
            fixture.submit(fixture.job("other" + i, "b", 2, PoolFixture.independentTasks(1, 4)));
        }
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.gang(2, 8, false)));
        for (int elapsed = 0; elapsed < LimitFixture.MAX_CLAIM_MILLIS; elapsed += 100) {
            fixture.completeStops();
            fixture.advance(100);
        }
        assertThat(limits.runningOf("claim")).isEqualTo(2);
    }

    /**
     * Guards against a claim that holds free resources for as long as the lease of a silent target, and against stops
     * of ever more work in that time.
     */
    @Test
    void aClaimHoldsFreeResourcesOnlyBrieflyForStopsOnASilentTarget() {
        limits.setTerms("a", 8, 8);
        limits.addTargets(2);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        fixture.pass(2_000);
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(1, 8)));
        // The other account's task first reserves the room of the stopping run and moves after half a second.
        fixture.pass(1_000);
        assertThat(limits.runningOf("other")).isEqualTo(1);
        assertThat(fixture.stops).hasSize(1);
        fixture.completeStops();
        assertThat(limits.runningOf("claim")).isEqualTo(1);
        assertThat(limits.runningOf("own")).isEqualTo(0);
    }
}
