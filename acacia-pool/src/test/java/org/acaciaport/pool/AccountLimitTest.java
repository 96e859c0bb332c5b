package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Tests that accounts stay within their limits, and that work held back by a limit delays nobody else. */
final class AccountLimitTest {
    private final LimitFixture limits = new LimitFixture();
    private final PoolFixture fixture = limits.pool;

    /** Guards against a step that never completes, or exceeds the limit, since it is wider than the limit. */
    @Test
    void aStepWiderThanTheLimitRunsInWaves() {
        limits.setTerms("a", 0, 3);
        limits.addTargets(2);
        fixture.submit(fixture.job("wide", "a", 2, PoolFixture.independentTasks(8, 1)));
        int ended = 0;
        while (!fixture.running.isEmpty()) {
            assertThat(limits.runningOf("wide")).isAtMost(3);
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
            ended++;
        }
        assertThat(ended).isEqualTo(8);
        assertThat(fixture.persisted.get("wide").state()).isEqualTo(JobState.DONE);
    }

    /** Guards against work of one account that waits, or is stopped, because another one is at its limit. */
    @Test
    void anAccountAtItsLimitDelaysNoOther() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(2);
        fixture.submit(fixture.job("first", "a", 2, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("waits", "a", 0, PoolFixture.gang(2, 8, false)));
        fixture.pass(4_000);
        fixture.submit(fixture.job("other", "b", 2, PoolFixture.independentTasks(1, 8)));
        assertThat(limits.runningOf("other")).isEqualTo(1);
        assertThat(fixture.stops).isEmpty();
        assertThat(fixture.pool.backlog().reserved()).isEqualTo(0);
        assertThat(fixture.pool.backlog().heldBack()).isEqualTo(2);
    }

    /** Guards against a gang that small tasks of its own account keep out for ever. */
    @Test
    void smallTasksDoNotKeepOutAGangOfTheirAccountForEver() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(4);
        fixture.submit(fixture.job("small", "a", 2, PoolFixture.independentTasks(60, 1)));
        fixture.submit(fixture.job("gang", "a", 1, PoolFixture.gang(2, 4, false)));
        for (int i = 0; i < 40 && limits.runningOf("gang") == 0; i++) {
            fixture.advance(200);
            fixture.endRun(fixture.running.keySet().iterator().next(), TargetReport.EndReason.DONE);
        }
        assertThat(limits.runningOf("gang")).isEqualTo(2);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against occurrences of a recurring job that count apart from each other. */
    @Test
    void occurrencesOfARecurringJobShareTheLimit() {
        limits.setTerms("a", 0, 8);
        limits.addTargets(4);
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
        limits.setTerms("a", 0, 8);
        limits.addTargets(4);
        Step.Mode lasting = new Step.Mode(false, false, false, true, false, 0);
        fixture.submit(fixture.job("service", "a", 2, PoolFixture.step(6, 1, lasting, false)));
        fixture.submit(fixture.job("gang", "a", 1, PoolFixture.gang(4, 1, false)));
        fixture.pass(4_000);
        assertThat(limits.runningOf("gang")).isEqualTo(0);
        fixture.submit(fixture.job("small", "a", 2, PoolFixture.independentTasks(3, 1)));
        assertThat(limits.runningOf("small")).isEqualTo(2);
    }

    /** Guards against tasks that use only idle processors and so escape a limit of processors. */
    @Test
    void tasksThatUseIdleProcessorsCountByTheirFullDemand() {
        limits.setTerms("a", AccountTerms.ofLimit(new Resources(3_000, 0, 0)));
        limits.addTargets(2);
        Step.Mode filling = new Step.Mode(false, false, false, false, true, 0);
        fixture.submit(fixture.job("fill", "a", 2, PoolFixture.step(8, 0, filling, false)));
        assertThat(limits.runningOf("fill")).isEqualTo(3);
    }

    /** Guards against a memory limit that is not enforced. */
    @Test
    void memoryIsLimited() {
        limits.setTerms("a", AccountTerms.ofLimit(new Resources(0, 2_500, 0)));
        limits.addTargets(1);
        fixture.submit(fixture.job("j", "a", 0, PoolFixture.independentTasks(4, 1)));
        assertThat(limits.runningOf("j")).isEqualTo(2);
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
        limits.setTerms("a", 0, 8);
        limits.addTargets(2);
        fixture.submit(fixture.job("j", "a", 2, PoolFixture.independentTasks(9, 1)));
        fixture.submit(fixture.job("k", "a", 2, PoolFixture.independentTasks(500, 1)));
        fixture.pass(10_000);
        assertThat(lines).hasSize(1);
        assertThat(lines.get(0)).containsMatch("account=a outcome=reached .*running=.*accelerators:8 .*limit=.*:8");
        limits.setTerms("a", 0, 0);
        fixture.pool.cancel("k", fixture.now());
        fixture.pass(5_000);
        logger.removeHandler(handler);
        assertThat(lines).hasSize(2);
        assertThat(lines.get(1)).contains("account=a outcome=below");
        assertThat(fixture.pool.backlog().heldBack()).isEqualTo(0);
    }
}
