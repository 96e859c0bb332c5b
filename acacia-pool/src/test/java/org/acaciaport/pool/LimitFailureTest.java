package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that runs count against the limits of their accounts while their state is unknown. */
final class LimitFailureTest {
    private final LimitFixture limits = new LimitFixture();
    private final PoolFixture fixture = limits.pool;

    /** Guards against a new leader that counts only what it has started itself. */
    @Test
    void restoredRunsCount() {
        limits.setTerms("a", 0, 4);
        limits.addTargets(2);
        Job job = fixture.job("old", "a", 2, PoolFixture.independentTasks(6, 1));
        fixture.submit(job);
        PoolFixture next = new PoolFixture();
        next.pool.configure(limits.settings());
        next.pool.restore(job, fixture.persisted.get("old"), next.now());
        next.running.putAll(fixture.running);
        next.addTarget("t0", "r1");
        next.addTarget("t1", "r1");
        next.pass(500);
        assertThat(next.starts).isEmpty();
        next.endRun(next.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        assertThat(next.starts).hasSize(1);
    }

    /** Guards against a start that is forgotten, and replaced by another, while its answer is late or lost. */
    @Test
    void anUnacknowledgedStartCountsUntilItIsKnownNotToRun() {
        limits.setTerms("a", 0, 1);
        limits.addTargets(2);
        fixture.pool.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(2, 1)), fixture.now());
        fixture.pool.schedule(fixture.now());
        List<TargetCommand.Start> unanswered = fixture.pool.takeBatch().starts();
        assertThat(unanswered).hasSize(1);
        fixture.pass(4_000);
        fixture.report(unanswered.get(0).target());
        fixture.schedulePass();
        assertThat(fixture.starts).isEmpty();
        fixture.pool.handleStartFailure(unanswered.get(0), "unanswered", 0, fixture.now());
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(1);
    }

    /** Guards against runs on a silent target that stop counting before their lease has ended. */
    @Test
    void runsOnASilentTargetCountUntilItsLeaseEnds() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(2);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(2, 8)));
        String silent = fixture.starts.get(0).target();
        fixture.pool.unregister(silent);
        fixture.pass(4_000);
        assertThat(fixture.starts).hasSize(1);
        fixture.running.clear();
        fixture.pool.handleLeaseExpiry(silent, 0, fixture.now());
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(2);
    }

    /** Guards against a stray run of a known job that uses resources beside the account's limit. */
    @Test
    void strayRunsCountUntilATargetReportsThemGone() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(2);
        fixture.submit(fixture.job("old", "a", 2, PoolFixture.independentTasks(1, 8)));
        TargetCommand.Start start = fixture.starts.get(0);
        fixture.pool.cancel("old", fixture.now());
        fixture.schedulePass();
        fixture.completeStops();
        fixture.running.put(start.task(), start);
        fixture.report(start.target());
        fixture.submit(fixture.job("new", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.pass(500);
        assertThat(limits.runningOf("new")).isEqualTo(0);
        fixture.running.remove(start.task());
        fixture.report(start.target());
        fixture.schedulePass();
        assertThat(limits.runningOf("new")).isEqualTo(1);
    }

    /** Guards against a retry that starts beside another task which took its place under the limit. */
    @Test
    void aRetryAfterAFailureWaitsForTheLimit() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(2);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(2, 8)));
        TaskId first = fixture.starts.get(0).task();
        fixture.endRun(first, TargetReport.EndReason.FAILED);
        fixture.pass(500);
        assertThat(fixture.running).hasSize(1);
        fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        fixture.pass(500);
        assertThat(fixture.running).hasSize(1);
        assertThat(fixture.starts).hasSize(3);
    }
}
