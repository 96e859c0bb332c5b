package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Tests that accounts stay within their limits, and that work held back by a limit delays nobody else. */
final class AccountLimitTest {
    /** Longest time in which work of the highest priority within its guarantee has to start, in milliseconds. */
    private static final int MAX_CLAIM_MILLIS = 2_900;

    private final PoolFixture fixture = new PoolFixture();
    private final Map<String, AccountTerms> accounts = new HashMap<>();

    private void setTerms(String account, long guaranteed, long limit) {
        accounts.put(account, new AccountTerms(guaranteed, 0, new Resources(0, 0, limit)));
        fixture.pool.configure(new PoolSettings(accounts, Set.of(), Set.of(PoolFixture.SERVICE)));
    }

    private void addTargets(int count) {
        for (int i = 0; i < count; i++) {
            fixture.addTarget("t" + i, "r1");
        }
    }

    private int runningOf(String job) {
        return (int) fixture.running.keySet().stream()
                .filter(task -> task.job().equals(job))
                .count();
    }

    /** Guards against a step that never completes, or exceeds the limit, since it is wider than the limit. */
    @Test
    void aStepWiderThanTheLimitRunsInWaves() {
        setTerms("a", 0, 3);
        addTargets(2);
        fixture.submit(fixture.job("wide", "a", 2, PoolFixture.independentTasks(8, 1)));
        int ended = 0;
        while (!fixture.running.isEmpty()) {
            assertThat(runningOf("wide")).isAtMost(3);
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
            ended++;
        }
        assertThat(ended).isEqualTo(8);
        assertThat(fixture.persisted.get("wide").state()).isEqualTo(JobState.DONE);
    }

    /** Guards against work of one account that waits, or is stopped, because another one is at its limit. */
    @Test
    void anAccountAtItsLimitDelaysNoOther() {
        setTerms("a", 0, 8);
        addTargets(2);
        fixture.submit(fixture.job("first", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("waits", "a", 0, PoolFixture.gang(2, 8, false)));
        fixture.pass(4_000);
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(1, 8)));
        assertThat(runningOf("other")).isEqualTo(1);
        assertThat(fixture.stops).isEmpty();
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(0);
        assertThat(fixture.pool.backlog().heldBack()).isEqualTo(2);
    }

    /**
     * Guards against a claim that waits for deferrable work of its own account which fills the limit, and against
     * stops of other accounts' work for it, or of more than it needs.
     */
    @Test
    void aClaimDisplacesJustEnoughOfItsOwnAccountsWork() {
        setTerms("a", 8, 16);
        addTargets(4);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(16, 1)));
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(8, 1)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.gang(2, 4, false)));
        fixture.pass(200);
        assertThat(fixture.stops).hasSize(8);
        fixture.stops.forEach(stop -> assertThat(stop.task().job()).isEqualTo("own"));
        assertThat(fixture.startsOf("claim")).isEmpty();
        fixture.completeStops();
        assertThat(runningOf("claim")).isEqualTo(2);
        fixture.pass(MAX_CLAIM_MILLIS);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against a claim whose own account's work is scattered, while the pool is full of other work. */
    @Test
    void aClaimInAFullPoolStartsInTimeAlthoughItsOwnWorkFillsItsLimit() {
        setTerms("a", 16, 16);
        addTargets(4);
        for (int i = 0; i < 4; i++) {
            fixture.submit(fixture.job("own" + i, "a", 2, PoolFixture.independentTasks(1, 4)));
            fixture.submit(fixture.job("other" + i, "b", 2, PoolFixture.independentTasks(1, 4)));
        }
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.gang(2, 8, false)));
        for (int elapsed = 0; elapsed < MAX_CLAIM_MILLIS; elapsed += 100) {
            fixture.completeStops();
            fixture.advance(100);
        }
        assertThat(runningOf("claim")).isEqualTo(2);
    }

    /** Guards against a new leader that counts only what it has started itself. */
    @Test
    void restoredRunsCount() {
        setTerms("a", 0, 4);
        addTargets(2);
        Job job = fixture.job("old", "a", 2, PoolFixture.independentTasks(6, 1));
        fixture.submit(job);
        PoolFixture next = new PoolFixture();
        next.pool.configure(new PoolSettings(accounts, Set.of(), Set.of(PoolFixture.SERVICE)));
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
        setTerms("a", 0, 1);
        addTargets(2);
        fixture.pool.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(2, 1)));
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
        setTerms("a", 0, 8);
        addTargets(2);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(2, 8)));
        String silent = fixture.starts.get(0).target();
        fixture.pool.unregister(silent);
        fixture.pass(4_000);
        assertThat(fixture.starts).hasSize(1);
        fixture.running.clear();
        fixture.pool.handleLeaseExpiry(silent, fixture.now());
        fixture.schedulePass();
        assertThat(fixture.starts).hasSize(2);
    }

    /**
     * Guards against a claim that holds free resources for as long as the lease of a silent target, and against stops
     * of ever more work in that time.
     */
    @Test
    void aClaimHoldsFreeResourcesOnlyBrieflyForStopsOnASilentTarget() {
        setTerms("a", 8, 8);
        addTargets(2);
        fixture.submit(fixture.job("own", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        fixture.pass(2_000);
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(1, 8)));
        // The other account's task first reserves the room of the stopping run and moves after half a second.
        fixture.pass(1_000);
        assertThat(runningOf("other")).isEqualTo(1);
        assertThat(fixture.stops).hasSize(1);
        fixture.completeStops();
        assertThat(runningOf("claim")).isEqualTo(1);
        assertThat(runningOf("own")).isEqualTo(0);
    }

    /** Guards against a stray run of a known job that uses resources beside the account's limit. */
    @Test
    void strayRunsCountUntilATargetReportsThemGone() {
        setTerms("a", 0, 8);
        addTargets(2);
        fixture.submit(fixture.job("old", "a", 2, PoolFixture.independentTasks(1, 8)));
        TargetCommand.Start start = fixture.starts.get(0);
        fixture.pool.cancel("old", fixture.now());
        fixture.schedulePass();
        fixture.completeStops();
        fixture.running.put(start.task(), start);
        fixture.report(start.target());
        fixture.submit(fixture.job("new", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.pass(500);
        assertThat(runningOf("new")).isEqualTo(0);
        fixture.running.remove(start.task());
        fixture.report(start.target());
        fixture.schedulePass();
        assertThat(runningOf("new")).isEqualTo(1);
    }

    /** Guards against stops when a limit is lowered, and starts before the usage is below it. */
    @Test
    void aLoweredLimitStopsNothingAndARaisedOneTakesEffectAtOnce() {
        setTerms("a", 0, 8);
        addTargets(4);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(20, 1)));
        assertThat(runningOf("j")).isEqualTo(8);
        setTerms("a", 0, 6);
        fixture.pass(200);
        assertThat(fixture.stops).isEmpty();
        for (int i = 0; i < 3; i++) {
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        }
        assertThat(runningOf("j")).isEqualTo(6);
        setTerms("a", 0, 10);
        fixture.schedulePass();
        assertThat(runningOf("j")).isEqualTo(10);
        setTerms("a", 0, 0);
        fixture.schedulePass();
        assertThat(runningOf("j")).isEqualTo(17);
    }

    /** Guards against starts beyond a limit that was lowered while their records became durable. */
    @Test
    void startsThatWereNotSentBeforeTheLimitWasLoweredAreNotWanted() {
        setTerms("a", 0, 8);
        addTargets(2);
        fixture.pool.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(6, 1)));
        fixture.pool.schedule(fixture.now());
        List<TargetCommand.Start> unsent = fixture.pool.takeBatch().starts();
        setTerms("a", 0, 4);
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
        setTerms("a", 8, 8);
        addTargets(1);
        fixture.submit(fixture.job("busy", "b", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "a", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(1);
        setTerms("a", 8, 4);
        fixture.schedulePass();
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(0);
        fixture.completeStops();
        assertThat(runningOf("claim")).isEqualTo(0);
        assertThat(runningOf("busy")).isEqualTo(1);
    }

    /** Guards against a gang that starts in part, and one that a lowered limit loses. */
    @Test
    void anAcceptedGangBeyondTheLimitWaitsUntilItIsRaised() {
        setTerms("a", 0, 8);
        addTargets(4);
        fixture.submit(fixture.job("gang", "a", 1, PoolFixture.gang(3, 4, false)));
        fixture.pass(4_000);
        assertThat(fixture.starts).isEmpty();
        fixture.submit(fixture.job("small", "a", 2, PoolFixture.independentTasks(2, 4)));
        assertThat(runningOf("small")).isEqualTo(2);
        setTerms("a", 0, 20);
        fixture.schedulePass();
        assertThat(runningOf("gang")).isEqualTo(3);
    }

    /** Guards against a gang that small tasks of its own account keep out for ever. */
    @Test
    void smallTasksDoNotKeepOutAGangOfTheirAccountForEver() {
        setTerms("a", 0, 8);
        addTargets(4);
        fixture.submit(fixture.job("small", "a", 2, PoolFixture.independentTasks(60, 1)));
        fixture.submit(fixture.job("gang", "a", 1, PoolFixture.gang(2, 4, false)));
        for (int i = 0; i < 40 && runningOf("gang") == 0; i++) {
            fixture.advance(200);
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        }
        assertThat(runningOf("gang")).isEqualTo(2);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against a retry that starts beside another task which took its place under the limit. */
    @Test
    void aRetryAfterAFailureWaitsForTheLimit() {
        setTerms("a", 0, 8);
        addTargets(2);
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

    /** Guards against occurrences of a recurring job that count apart from each other. */
    @Test
    void occurrencesOfARecurringJobShareTheLimit() {
        setTerms("a", 0, 8);
        addTargets(4);
        long firstMillis = fixture.now().wallClockMillis();
        Job once = fixture.job("r", "a", 2, PoolFixture.independentTasks(1, 8));
        fixture.submit(new Job(
                "r",
                once.queue(),
                once.service(),
                "a",
                once.terms(),
                "payload",
                once.steps(),
                new Job.Schedule(3, firstMillis, 100),
                firstMillis));
        fixture.pass(1_000);
        assertThat(fixture.starts).hasSize(1);
        for (int i = 0; i < 3; i++) {
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        }
        assertThat(fixture.persisted.get("r").state()).isEqualTo(JobState.DONE);
    }

    /** Guards against lasting tasks beyond the limit, and against a gang that they keep out and that blocks others. */
    @Test
    void lastingTasksCountAndAGangThatTheyKeepOutBlocksNobody() {
        setTerms("a", 0, 8);
        addTargets(4);
        Step.Mode lasting = new Step.Mode(false, false, false, true, false, 0);
        fixture.submit(fixture.job("service", "a", 2, PoolFixture.step(6, 1, lasting, false)));
        fixture.submit(fixture.job("gang", "a", 1, PoolFixture.gang(4, 1, false)));
        fixture.pass(4_000);
        assertThat(runningOf("gang")).isEqualTo(0);
        fixture.submit(fixture.job("small", "a", 2, PoolFixture.independentTasks(3, 1)));
        assertThat(runningOf("small")).isEqualTo(2);
    }

    /** Guards against tasks that use only idle processors and so escape a limit of processors. */
    @Test
    void tasksThatUseIdleProcessorsCountByTheirFullDemand() {
        accounts.put("a", AccountTerms.ofLimit(new Resources(3_000, 0, 0)));
        fixture.pool.configure(new PoolSettings(accounts, Set.of(), Set.of(PoolFixture.SERVICE)));
        addTargets(2);
        Step.Mode filling = new Step.Mode(false, false, false, false, true, 0);
        fixture.submit(fixture.job("fill", "a", 2, PoolFixture.step(8, 0, filling, false)));
        assertThat(runningOf("fill")).isEqualTo(3);
    }

    /** Guards against a memory limit that is not enforced. */
    @Test
    void memoryIsLimited() {
        accounts.put("a", AccountTerms.ofLimit(new Resources(0, 2_500, 0)));
        fixture.pool.configure(new PoolSettings(accounts, Set.of(), Set.of(PoolFixture.SERVICE)));
        addTargets(1);
        fixture.submit(fixture.job("j", "a", 0, PoolFixture.independentTasks(4, 1)));
        assertThat(runningOf("j")).isEqualTo(2);
    }

    /** Guards against a line per pass and unit while an account is at its limit, and against a missing end. */
    @Test
    void reachingALimitAndItsEndAreLoggedOnce() {
        List<String> lines = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord record) {
                lines.add(record.getMessage());
            }

            @Override
            public void flush() {
                // Records are not buffered.
            }

            @Override
            public void close() {
                // There is no resource to close.
            }
        };
        Logger logger = Logger.getLogger(LimitMonitor.class.getName());
        logger.addHandler(handler);
        setTerms("a", 0, 8);
        addTargets(2);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(9, 1)));
        fixture.submit(fixture.job("k", "a", 2, PoolFixture.independentTasks(500, 1)));
        fixture.pass(10_000);
        assertThat(lines).hasSize(1);
        assertThat(lines.get(0)).containsMatch("account=a outcome=reached .*running=.*accelerators:8 .*limit=.*:8");
        setTerms("a", 0, 0);
        fixture.pool.cancel("k", fixture.now());
        fixture.pass(5_000);
        logger.removeHandler(handler);
        assertThat(lines).hasSize(2);
        assertThat(lines.get(1)).contains("account=a outcome=below");
        assertThat(fixture.pool.backlog().heldBack()).isEqualTo(0);
    }
}
