package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the effect of a limit that is lowered or raised while work runs, waits and has reservations. */
final class LimitChangeTest {
    private final LimitFixture limits = new LimitFixture();
    private final PoolFixture fixture = limits.pool;

    /** Guards against stops when a limit is lowered, and starts before the usage is below it. */
    @Test
    void aLoweredLimitStopsNothingAndARaisedOneTakesEffectAtOnce() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(4);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(20, 1)));
        assertThat(limits.runningOf("j")).isEqualTo(8);
        limits.setTerms("a", 0, 6);
        fixture.pass(200);
        assertThat(fixture.stops).isEmpty();
        for (int i = 0; i < 3; i++) {
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        }
        assertThat(limits.runningOf("j")).isEqualTo(6);
        limits.setTerms("a", 0, 10);
        fixture.schedulePass();
        assertThat(limits.runningOf("j")).isEqualTo(10);
        limits.setTerms("a", 0, 0);
        fixture.schedulePass();
        assertThat(limits.runningOf("j")).isEqualTo(17);
    }

    /** Guards against starts beyond a limit that was lowered while their records became durable. */
    @Test
    void startsThatWereNotSentBeforeTheLimitWasLoweredAreNotWanted() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(2);
        fixture.pool.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(6, 1)), fixture.now());
        fixture.pool.schedule(fixture.now());
        List<TargetCommand.Start> unsent = fixture.pool.takeBatch().starts();
        limits.setTerms("a", 0, 4);
        int sent = 0;
        for (TargetCommand.Start start : unsent) {
            if (fixture.pool.isWanted(start)) {
                sent++;
            } else {
                fixture.pool.handleStartFailure(start, "not wanted", 0, fixture.now());
            }
        }
        assertThat(sent).isEqualTo(4);
    }

    /** Guards against a reservation that survives a lowered limit and keeps resources from other accounts. */
    @Test
    void aLoweredLimitCancelsReservationsBeyondIt() {
        limits.setTerms("a", 8, 8);
        limits.addTargets(1);
        fixture.submit(fixture.job("busy", "b", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(1);
        limits.setTerms("a", 8, 4);
        fixture.schedulePass();
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(0);
        fixture.completeStops();
        assertThat(limits.runningOf("claim")).isEqualTo(0);
        assertThat(limits.runningOf("busy")).isEqualTo(1);
    }

    /** Guards against a gang that starts in part, and one that a lowered limit loses. */
    @Test
    void anAcceptedGangBeyondTheLimitWaitsUntilItIsRaised() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(4);
        fixture.submit(fixture.job("gang", "a", 1, PoolFixture.gang(3, 4, false)));
        fixture.pass(4_000);
        assertThat(fixture.starts).isEmpty();
        fixture.submit(fixture.job("small", "a", 2, PoolFixture.independentTasks(2, 4)));
        assertThat(limits.runningOf("small")).isEqualTo(2);
        limits.setTerms("a", 0, 20);
        fixture.schedulePass();
        assertThat(limits.runningOf("gang")).isEqualTo(3);
    }
}
