package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.acaciaport.admission.Outlook;
import org.junit.jupiter.api.Test;

/** Tests the outlook of a pool with targets of 8 accelerators and 32 cores, whose steps are estimated at 5 s. */
final class OutlookBuilderTest {
    private final PoolFixture fixture = new PoolFixture();

    private List<Integer> waits(int priority) {
        for (Outlook.Service service : fixture.pool.outlook(fixture.now()).services()) {
            for (Outlook.Wait wait : service.waits()) {
                if (wait.priority() == priority) {
                    return wait.millis();
                }
            }
        }
        return List.of();
    }

    private static Step estimated(Step step, long millis) {
        return new Step(step.count(), step.demand(), millis, step.after(), step.constraints(), step.mode());
    }

    /** Guards against refusals while there is room, whatever the estimates of the running work say. */
    @Test
    void estimatesThatAreTenTimesOffShowNoWaitWhileThereIsRoom() {
        for (long estimateMillis : new long[] {500, 5_000, 50_000}) {
            PoolFixture pool = new PoolFixture();
            for (int i = 0; i < 30; i++) {
                pool.addTarget("t" + i, "r1");
            }
            pool.submit(pool.job("busy", "x", 1, estimated(PoolFixture.independentTasks(8, 8), estimateMillis)));
            // No target has its label, so it waits for ever, while there is room for all other work.
            Step.Constraints constraints = new Step.Constraints("none", "", 0, false);
            pool.submit(pool.job(
                    "unplaceable",
                    "x",
                    1,
                    new Step(
                            4,
                            new Resources(1_000, 1_000, 8),
                            estimateMillis,
                            List.of(),
                            constraints,
                            Step.Mode.PLAIN)));
            assertThat(pool.pool.outlook(pool.now()).isEmpty()).isTrue();
        }
    }

    /** Guards against refusals in a pool that is full while nothing waits. */
    @Test
    void aFullPoolInWhichNothingWaitsHasNoWait() {
        fixture.occupyTargets(4);
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against a new leader without registered targets that publishes endless waits. */
    @Test
    void aPoolWithoutTargetsHasNoOutlook() {
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against a wait that leaves out the runs or what waits before. */
    @Test
    void waitingWorkStartsAsRunsEndAndMoreWorkAfterIt() {
        fixture.occupyTargets(4);
        fixture.submit(fixture.job("first", "x", 1, PoolFixture.independentTasks(4, 8)));
        List<Integer> millis = waits(1);
        assertThat(millis.get(0)).isAtLeast(9_500);
        assertThat(millis.get(0)).isAtMost(10_250);
    }

    /** Guards against urgent work that counts as waiting for work that it stops. */
    @Test
    void theHighestPriorityWaitsOnlyUntilOthersAreStopped() {
        fixture.occupyTargets(4);
        fixture.submit(fixture.job("first", "x", 1, PoolFixture.independentTasks(4, 8)));
        assertThat(waits(0)).isEmpty();
        fixture.submit(fixture.job("urgent", "x", 0, PoolFixture.gang(1, 8, false)));
        assertThat(waits(0).get(0)).isAtMost(500);
    }

    /** Guards against a wait that forgets the later steps of accepted jobs. */
    @Test
    void stepsWhoseEarlierStepsRunAreFutureWork() {
        fixture.occupyTargets(4);
        Step first = PoolFixture.independentTasks(4, 8);
        Step second = new Step(4, first.demand(), 20_000, List.of(0), first.constraints(), first.mode());
        fixture.submit(fixture.job("chain", "x", 1, first, second));
        fixture.submit(fixture.job("next", "x", 1, PoolFixture.independentTasks(4, 8)));
        assertThat(waits(1).get(0)).isAtLeast(20_000);
    }

    /** Guards against a wait behind work of lower priority. */
    @Test
    void workOfLowerPriorityDoesNotCountAsAhead() {
        fixture.occupyTargets(4);
        fixture.submit(fixture.job("batch", "x", 2, PoolFixture.independentTasks(400, 8)));
        assertThat(waits(1).get(0)).isAtMost(5_250);
        assertThat(waits(2).getLast()).isAtLeast(10_000);
    }

    /** Guards against an outlook that is too long for a heartbeat of 250 ms, at the size of the two-year goal. */
    @Test
    void anOutlookOfALargePoolTakesAFractionOfAHeartbeat() {
        for (int i = 0; i < 300; i++) {
            fixture.addTarget("t" + i, "r" + i / 8);
        }
        for (int i = 0; i < 100; i++) {
            fixture.pool.submit(fixture.job("j" + i, "x", i % 3, PoolFixture.independentTasks(100, 1)), fixture.now());
        }
        fixture.schedulePass();
        long shortestNanos = Long.MAX_VALUE;
        for (int i = 0; i < 20; i++) {
            long start = System.nanoTime();
            assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isFalse();
            shortestNanos = Math.min(shortestNanos, System.nanoTime() - start);
        }
        System.out.printf("outlook of 300 targets and 10,000 tasks: %.2f ms%n", shortestNanos / 1e6);
        assertThat(shortestNanos).isLessThan(25_000_000L);
    }

    /** Guards against a wait behind late work, which the pool starts after work that is in time. */
    @Test
    void lateWorkDoesNotCountAsAheadOfItsOwnPriority() {
        fixture.occupyTargets(4);
        fixture.submit(fixture.job("late", "x", 1, PoolFixture.independentTasks(40, 8)));
        assertThat(waits(1).get(0)).isAtLeast(10_000);
        // The job is late from 11 s on.
        fixture.advance(12_000);
        fixture.submit(fixture.job("new", "x", 1, PoolFixture.independentTasks(4, 8)));
        assertThat(waits(1).get(0)).isAtMost(6_000);
    }

    private void limit(String account, long accelerators) {
        AccountTerms terms = AccountTerms.ofLimit(new Resources(0, 0, accelerators));
        fixture.pool.configure(new PoolSettings(Map.of(account, terms), Set.of(), Map.of()));
    }

    private void addTargets(int count) {
        for (int i = 0; i < count; i++) {
            fixture.addTarget("t" + i, "r1");
        }
    }

    /** Guards against refusals of all accounts while the tasks of one wait for its limit in a half idle pool. */
    @Test
    void workThatWaitsForItsAccountLimitDoesNotCountAsAheadOfOthers() {
        addTargets(4);
        limit("x", 16);
        fixture.submit(fixture.job("limited", "x", 1, PoolFixture.independentTasks(5_000, 1)));
        assertThat(fixture.running).hasSize(16);
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against a limited account whose work is left out of the forecast as far as it may start. */
    @Test
    void workWithinItsAccountLimitCountsAsAhead() {
        fixture.occupyTargets(4);
        limit("limited", 32);
        fixture.submit(fixture.job("next", "limited", 1, PoolFixture.independentTasks(8, 8)));
        assertThat(waits(1).get(0)).isAtLeast(14_500);
    }

    /** Guards against an accepted gang that reserves simulated capacity for ever after its limit was lowered. */
    @Test
    void aGangBeyondALoweredLimitDoesNotCountAsAhead() {
        addTargets(4);
        limit("x", 8);
        fixture.submit(fixture.job("gang", "x", 0, PoolFixture.gang(4, 8, false)));
        assertThat(fixture.running).isEmpty();
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against one job that no target can hold and for which all other work is refused. */
    @Test
    void aTaskThatExceedsEveryTargetDoesNotCountAsAhead() {
        addTargets(4);
        Step step = new Step(
                1, new Resources(1_000, 1_000_000_000, 0), 5_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("huge", "x", 0, step));
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against a gang larger than the pool that waits before all other work. */
    @Test
    void aGangThatExceedsAllTargetsTogetherDoesNotCountAsAhead() {
        addTargets(4);
        fixture.submit(fixture.job("gang", "x", 0, PoolFixture.gang(5, 8, false)));
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against simulated capacity for work whose label no target has. */
    @Test
    void workWithoutATargetOfItsLabelDoesNotCountAsAhead() {
        addTargets(4);
        Step.Constraints constraints = new Step.Constraints("none", "", 0, false);
        Step step = new Step(5_000, new Resources(1_000, 1_000, 1), 5_000, List.of(), constraints, Step.Mode.PLAIN);
        fixture.submit(fixture.job("unplaceable", "x", 0, step));
        assertThat(fixture.pool.outlook(fixture.now()).isEmpty()).isTrue();
    }

    /** Guards against refusals for urgent work that is of no use any more. */
    @Test
    void workOfHigherPriorityThatIsOfNoUseDoesNotCountAsAhead() {
        fixture.occupyTargets(4);
        fixture.submit(fixture.job("urgent", "x", 1, PoolFixture.independentTasks(400, 8)));
        // The job is of use for three times 16 s.
        fixture.advance(50_000);
        fixture.submit(fixture.job("next", "x", 2, PoolFixture.independentTasks(1, 8)));
        assertThat(waits(2).get(0)).isAtMost(6_000);
    }
}
