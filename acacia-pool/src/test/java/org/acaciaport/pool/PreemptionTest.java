package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Tests of the choice of the tasks that are preempted, spared or waited for. */
final class PreemptionTest {
    private final PoolFixture fixture = new PoolFixture();

    @Test
    void aClaimPreemptsOtherAccountsAtOnce() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.gang(1, 8, false)));
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.starts).hasSize(1);
        fixture.completeStops();
        assertThat(fixture.starts.get(1).task().job()).isEqualTo("claim");
    }

    @Test
    void highestPriorityTasksBeyondTheirGuaranteeYieldToAClaim() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
    }

    /** Guards against preempting a task that is about to complete, which would lose nearly all of its work. */
    @Test
    void aClaimWaitsForTasksAboutToComplete() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(4_700);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).isEmpty();
        fixture.advance(1_100);
        fixture.advance(10);
        assertThat(fixture.stops).hasSize(1);
    }

    /**
     * Guards against the loss of long work without checkpoints that is nearly done, to a short urgent task beyond the
     * guarantee of its account.
     */
    @Test
    void preemptionBeyondTheGuaranteeRespectsTheLossBudget() {
        fixture.addTarget("t1", "r1");
        Step longStep =
                new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("borrower", "x", 1, longStep));
        fixture.advance(20_000);
        fixture.submit(fixture.job("beyond", "owner", 0, PoolFixture.independentTasks(1, 8)));
        fixture.advance(3_000);
        assertThat(fixture.stops).isEmpty();
    }

    /** Guards against preempting the same large job again and again while others are spared. */
    @Test
    void aPreemptedStepIsSparedNextTime() {
        fixture.setGuarantee("owner", 64);
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("other", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(400);
        fixture.submit(fixture.job("large", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(400);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("large");
        fixture.completeStops();
        fixture.addTarget("t3", "r1");
        fixture.schedulePass();
        fixture.advance(3_000);
        fixture.submit(fixture.job("next", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("other");
    }

    /**
     * Guards against preempting urgent tasks of another account, which are late then, although other tasks can wait.
     */
    @Test
    void aClaimPrefersVictimsOfLowerPriority() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(1_500);
        fixture.submit(fixture.job("urgent", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.advance(1_000);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("patient");
    }

    /**
     * Guards against a chain of stops: a claim that stops an urgent task which has just displaced others makes it
     * displace more of them.
     */
    @Test
    void aClaimSparesUrgentWorkThatDisplacedOthers() {
        fixture.setGuarantee("owner", 8);
        fixture.addTarget("t1", "r1");
        fixture.addTarget("t2", "r1");
        fixture.submit(fixture.job("patient1", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.submit(fixture.job("patient2", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(3_500);
        fixture.submit(fixture.job("urgent", "x", 0, PoolFixture.independentTasks(1, 8)));
        fixture.completeStops();
        assertThat(fixture.startsOf("urgent")).hasSize(1);
        fixture.advance(100);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.stops.get(0).task().job()).startsWith("patient");
    }

    /** Guards against stops for a task that is late already and gains little by them. */
    @Test
    void aLateTaskStopsNoMoreThanHalfOfItsOwnWork() {
        fixture.addTarget("t1", "r1");
        Job late = fixture.job("late", "y", 0, PoolFixture.independentTasks(1, 8));
        fixture.advance(20_000);
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(3_000);
        fixture.submit(late);
        fixture.advance(100);
        assertThat(fixture.stops).isEmpty();
        fixture.submit(fixture.job("inTime", "y", 0, PoolFixture.independentTasks(1, 8)));
        assertThat(fixture.stops).hasSize(1);
    }

    /**
     * Guards against long waits of a short preview that needs a whole target: its own work is never worth that of its
     * victims, so it needs a minimum loss budget.
     */
    @Test
    void aShortTaskThatNeedsAWholeTargetDoesNotWaitForLongTasks() {
        fixture.addTarget("t1", "r1");
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.independentTasks(1, 8)));
        fixture.advance(3_000);
        Step shortStep =
                new Step(1, new Resources(1_000, 1_000, 8), 300, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("preview", "y", 0, shortStep));
        assertThat(fixture.stops).hasSize(1);
    }

    /**
     * Guards against an urgent gang that gains and loses its advance reservation in each pass, fifty times a second,
     * and writes a log line each time. It happened to a gang whose placement would exceed its loss budget.
     */
    @Test
    void anUrgentGangKeepsItsAdvanceReservation() {
        fixture.addTarget("t1", "r1");
        Step longStep =
                new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("patient", "x", 1, longStep));
        fixture.advance(30_000);
        fixture.submit(fixture.job("urgent", "y", 0, PoolFixture.gang(1, 8, false)));
        List<String> lines = new ArrayList<>();
        Handler handler = recordingHandler(lines);
        Logger logger = Logger.getLogger(PlacementPass.class.getPackageName());
        logger.addHandler(handler);
        for (int i = 0; i < 250; i++) {
            fixture.advance(20);
        }
        logger.removeHandler(handler);
        assertThat(fixture.stops).isEmpty();
        assertThat(lines).isNotEmpty();
        assertThat(lines.size()).isAtMost(5);
    }

    private static Handler recordingHandler(List<String> lines) {
        return new Handler() {
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
    }
}
