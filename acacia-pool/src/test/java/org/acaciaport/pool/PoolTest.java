package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/** Placement, ends and recovery of single jobs. */
final class PoolTest {
    private final PoolFixture fixture = new PoolFixture();

    private JobState state(String job) {
        return fixture.durable.get(job).state();
    }

    @Test
    void aStartLeavesOnlyWithTheRecordThatNamesIt() {
        fixture.target("t1", "r1");
        fixture.pool.submit(fixture.job("a", "x", 1, PoolFixture.plain(1, 1)));
        fixture.pool.schedule(fixture.now());
        Batch batch = fixture.pool.takeBatch();
        assertThat(batch.starts()).hasSize(1);
        JobProgress.Task task = batch.records().get(0).tasks().get(0);
        assertThat(task.target()).isEqualTo("t1");
        assertThat(task.lastRun()).isEqualTo(batch.starts().get(0).run());
    }

    @Test
    void aJobIsDoneOnceEveryTaskOfEveryStepIsDone() {
        fixture.target("t1", "r1");
        Step second = new Step(1, new Resources(1, 1, 1), 10, List.of(0), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.plain(2, 1), second));
        assertThat(fixture.starts).hasSize(2);
        fixture.end(PoolFixture.task("a", 0), TargetReport.How.DONE);
        assertThat(fixture.starts).hasSize(2);
        fixture.end(PoolFixture.task("a", 1), TargetReport.How.DONE);
        assertThat(fixture.starts).hasSize(3);
        assertThat(state("a")).isEqualTo(JobState.RUNNING);
        fixture.end(new TaskId("a", 0, 1, 0), TargetReport.How.DONE);
        assertThat(state("a")).isEqualTo(JobState.DONE);
    }

    @Test
    void aGangStartsWholeOrNotAtAll() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        assertThat(fixture.starts).isEmpty();
        fixture.target("t2", "r2");
        fixture.settle();
        assertThat(fixture.starts).hasSize(2);
        assertThat(fixture.starts.get(0).run()).isEqualTo(fixture.starts.get(1).run());
    }

    @Test
    void aTightGangRunsOnOneRack() {
        fixture.target("t1", "r1");
        fixture.target("t2", "r2");
        fixture.target("t3", "r2");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, true)));
        Set<String> targets = new HashSet<>();
        fixture.starts.forEach(start -> targets.add(start.target()));
        assertThat(targets).containsExactly("t2", "t3");
    }

    /** Pattern: small long work spread over all racks leaves none whole for a tight gang, which then stops others. */
    @Test
    void smallWorkFillsOneRackBeforeItOpensAnother() {
        fixture.target("t1", "r1");
        fixture.target("t2", "r2");
        fixture.target("t3", "r1");
        fixture.target("t4", "r2");
        fixture.submit(fixture.job("small", "x", 1, PoolFixture.plain(1, 8)));
        fixture.submit(fixture.job("more", "x", 1, PoolFixture.plain(1, 8)));
        fixture.submit(fixture.job("large", "x", 0, PoolFixture.gang(2, 8, true)));
        assertThat(fixture.stops).isEmpty();
        assertThat(fixture.starts).hasSize(4);
    }

    @Test
    void oneEndDoneStandsForTheWholeGang() {
        fixture.target("t1", "r1");
        fixture.target("t2", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        fixture.end(PoolFixture.task("a", 1), TargetReport.How.DONE);
        assertThat(state("a")).isEqualTo(JobState.DONE);
    }

    @Test
    void aFailureOfOneGangMemberStopsTheOthersAndCountsOnce() {
        fixture.target("t1", "r1");
        fixture.target("t2", "r1");
        fixture.target("t3", "r1");
        fixture.target("t4", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.gang(2, 8, false)));
        fixture.end(PoolFixture.task("a", 0), TargetReport.How.FAILED);
        assertThat(fixture.stops).hasSize(1);
        fixture.end(PoolFixture.task("a", 1), TargetReport.How.FAILED);
        assertThat(state("a")).isNotEqualTo(JobState.FAILED);
        assertThat(fixture.starts).hasSize(4);
        fixture.end(PoolFixture.task("a", 0), TargetReport.How.FAILED);
        assertThat(state("a")).isEqualTo(JobState.FAILED);
    }

    @Test
    void aClaimWithinTheGuaranteeStopsOthersWorkAtOnce() {
        fixture.guarantee("owner", 8);
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 1, PoolFixture.plain(1, 8)));
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.gang(1, 8, false)));
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.starts).hasSize(1);
        fixture.obeyStops();
        assertThat(fixture.starts.get(1).task().job()).isEqualTo("claim");
    }

    @Test
    void workOfPriorityZeroBeyondItsGuaranteeYieldsToAClaimWithin() {
        fixture.guarantee("owner", 8);
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 0, PoolFixture.plain(1, 8)));
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.plain(1, 8)));
        assertThat(fixture.stops).hasSize(1);
    }

    /** Pattern: a claim arrives while others' work is about to end; stopping it would lose nearly all of it. */
    @Test
    void aClaimWaitsForWorkThatIsAboutToEnd() {
        fixture.guarantee("owner", 8);
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("borrower", "x", 1, PoolFixture.plain(1, 8)));
        fixture.pass(4_700);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.plain(1, 8)));
        assertThat(fixture.stops).isEmpty();
        fixture.pass(1_100);
        fixture.pass(10);
        assertThat(fixture.stops).hasSize(1);
    }

    /** Pattern: short urgent work beyond its guarantee arrives while long work without checkpoints is nearly done. */
    @Test
    void workBeyondTheGuaranteeDoesNotThrowAwayMuchMoreThanItDoes() {
        fixture.target("t1", "r1");
        Step lengthy =
                new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("borrower", "x", 1, lengthy));
        fixture.pass(20_000);
        fixture.submit(fixture.job("beyond", "owner", 0, PoolFixture.plain(1, 8)));
        fixture.pass(3_000);
        assertThat(fixture.stops).isEmpty();
    }

    @Test
    void aTargetThatStartsAgainHasLostItsRuns() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.plain(1, 8)));
        fixture.restart("t1", "r1");
        fixture.settle();
        assertThat(fixture.starts).hasSize(1);
        fixture.report("t1");
        fixture.settle();
        assertThat(fixture.starts).hasSize(2);
        assertThat(fixture.starts.get(1).run()).isEqualTo(2);
    }

    @Test
    void workOfASilentTargetRunsElsewhereOnlyAfterItsLeaseIsOver() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.plain(1, 8)));
        fixture.target("t2", "r1");
        fixture.pool.avoid("t1", 1_000, fixture.now());
        fixture.pool.unregister("t1");
        fixture.pass(5_000);
        assertThat(fixture.starts).hasSize(1);
        fixture.pool.lapsed("t1", fixture.now());
        fixture.settle();
        assertThat(fixture.starts).hasSize(2);
        assertThat(fixture.starts.get(1).target()).isEqualTo("t2");
    }

    @Test
    void aRestoredRunIsKeptIfItsTargetStillReportsIt() {
        fixture.target("t1", "r1");
        Job job = fixture.job("a", "x", 1, PoolFixture.plain(1, 8));
        fixture.submit(job);
        PoolFixture successor = new PoolFixture();
        successor.running.putAll(fixture.running);
        successor.pool.restore(job, fixture.durable.get("a"), successor.now());
        successor.target("t1", "r1");
        successor.settle();
        assertThat(successor.starts).isEmpty();
        successor.end(PoolFixture.task("a", 0), TargetReport.How.DONE);
        assertThat(successor.durable.get("a").state()).isEqualTo(JobState.DONE);
    }

    @Test
    void aRestoredRunThatItsTargetDoesNotKnowStartsAgainUnderAHigherNumber() {
        fixture.target("t1", "r1");
        Job job = fixture.job("a", "x", 1, PoolFixture.plain(1, 8));
        fixture.submit(job);
        PoolFixture successor = new PoolFixture();
        successor.pool.restore(job, fixture.durable.get("a"), successor.now());
        successor.target("t1", "r1");
        successor.settle();
        assertThat(successor.starts).hasSize(1);
        assertThat(successor.starts.get(0).run()).isEqualTo(2);
    }

    @Test
    void aRunThatNobodyAskedForIsStopped() {
        fixture.target("t1", "r1");
        fixture.running.put(
                PoolFixture.task("a", 0), new Order.Start("t1", 1, PoolFixture.task("a", 0), 7, "payload", ""));
        fixture.report("t1");
        fixture.settle();
        assertThat(fixture.stops).containsExactly(new Order.Stop("t1", 1, PoolFixture.task("a", 0), 7));
    }

    @Test
    void aCancelledJobStopsAndStartsNothing() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.plain(2, 5)));
        assertThat(fixture.starts).hasSize(1);
        fixture.pool.cancel("a", fixture.now());
        fixture.settle();
        fixture.obeyStops();
        assertThat(state("a")).isEqualTo(JobState.CANCELLED);
        assertThat(fixture.starts).hasSize(1);
    }

    @Test
    void nothingStartsOnATargetThatDrains() {
        fixture.target("t1", "r1");
        fixture.drain("t1", "r1", 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.plain(1, 1)));
        assertThat(fixture.starts).isEmpty();
    }

    /** Pattern: targets leave with short notice. Work that saves its progress used to run until it was lost. */
    @Test
    void workThatSavesIsMovedOffATargetBeforeItLeaves() {
        fixture.target("t1", "r1");
        Step.Mode saving = new Step.Mode(false, true, false, false, false, 0);
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.step(1, 8, saving, false)));
        fixture.submit(fixture.job("b", "x", 1, PoolFixture.plain(1, 8)));
        fixture.target("t2", "r1");
        fixture.settle();
        fixture.drain("t1", "r1", fixture.now().nanosAfter(2_000));
        fixture.drain("t2", "r1", fixture.now().nanosAfter(2_000));
        fixture.settle();
        assertThat(fixture.stops).isEmpty();
        fixture.pass(1_500);
        assertThat(fixture.stops).hasSize(1);
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("a");
    }

    /** Pattern: some targets turn several times slower. Urgent work used to stay there until it was late. */
    @Test
    void urgentWorkLeavesATargetThatIsMuchSlowerThanEstimatedOnce() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.plain(1, 8)));
        fixture.target("t2", "r1");
        crawl(2);
        assertThat(fixture.stops).hasSize(1);
        fixture.obeyStops();
        assertThat(fixture.starts.get(1).target()).isEqualTo("t2");
        crawl(4);
        assertThat(fixture.stops).isEmpty();
    }

    /** Pattern: a calm day with an estimate far too low. A run past its middle is moved off a sound target. */
    @Test
    void aRunThatWouldEndSoonerHereThanAnewIsLeft() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.plain(1, 8)));
        fixture.target("t2", "r1");
        for (int percent = 50; percent <= 80; percent += 10) {
            fixture.pass(2_000);
            fixture.progress(fixture.starts.get(0), percent);
            fixture.settle();
        }
        assertThat(fixture.stops).isEmpty();
    }

    /**
     * Pattern: a tight gang of an account within its guarantee was moved off a slow target, has waited long in all, and
     * used to be spread over racks at once, though one rack had room: there it takes several times as long.
     */
    @Test
    void aGangThatWaitedLongStillPrefersOneRack() {
        fixture.guarantee("owner", 32);
        fixture.target("t1", "r1");
        fixture.target("t2", "r2");
        fixture.submit(fixture.job("first", "owner", 0, PoolFixture.plain(1, 4)));
        fixture.submit(fixture.job("second", "owner", 0, PoolFixture.plain(1, 5)));
        fixture.submit(fixture.job("gang", "owner", 0, PoolFixture.gang(2, 4, true)));
        fixture.pass(2_000);
        assertThat(fixture.starts).hasSize(2);
        fixture.target("t3", "r3");
        fixture.settle();
        assertThat(fixture.starts).hasSize(4);
        assertThat(fixture.starts.get(2).target()).isEqualTo("t3");
        assertThat(fixture.starts.get(3).target()).isEqualTo("t3");
    }

    /** Pattern: slow targets. A run that began from nothing has a rate after one report; it used to take two. */
    @Test
    void aSlowRunIsKnownByItsFirstReport() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 0, PoolFixture.plain(1, 8)));
        fixture.target("t2", "r1");
        fixture.pass(1_000);
        fixture.progress(fixture.starts.get(0), 3);
        fixture.settle();
        assertThat(fixture.stops).hasSize(1);
    }

    /** Pattern: the same large job was stopped for urgent work again and again, while others were left alone. */
    @Test
    void workThatWasStoppedForOthersBeforeIsSparedNextTime() {
        fixture.guarantee("owner", 64);
        fixture.target("t1", "r1");
        fixture.target("t2", "r1");
        fixture.submit(fixture.job("other", "x", 1, PoolFixture.plain(1, 8)));
        fixture.pass(400);
        fixture.submit(fixture.job("large", "x", 1, PoolFixture.plain(1, 8)));
        fixture.pass(400);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.plain(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("large");
        fixture.obeyStops();
        fixture.target("t3", "r1");
        fixture.settle();
        fixture.pass(3_000);
        fixture.submit(fixture.job("next", "owner", 0, PoolFixture.plain(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("other");
    }

    /** Pattern: a claim stopped another account's urgent work, which was late then, though other work could wait. */
    @Test
    void aClaimStopsWorkThatCanWaitRatherThanUrgentWork() {
        fixture.guarantee("owner", 8);
        fixture.target("t1", "r1");
        fixture.target("t2", "r1");
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.plain(1, 8)));
        fixture.pass(1_500);
        fixture.submit(fixture.job("urgent", "x", 0, PoolFixture.plain(1, 8)));
        fixture.pass(1_000);
        fixture.submit(fixture.job("claim", "owner", 0, PoolFixture.plain(1, 8)));
        assertThat(fixture.stops.get(0).task().job()).isEqualTo("patient");
    }

    /** Pattern: a short preview that takes whole targets was never worth its victims, and waited for many seconds. */
    @Test
    void aShortPreviewThatTakesWholeTargetsDoesNotWaitForLongWork() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("patient", "x", 1, PoolFixture.plain(1, 8)));
        fixture.pass(3_000);
        Step brief =
                new Step(1, new Resources(1_000, 1_000, 8), 300, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("preview", "y", 0, brief));
        assertThat(fixture.stops).hasSize(1);
    }

    /**
     * Pattern: a calm day on which an urgent gang too dear to place waits for room. It used to be given that room and
     * to lose it again in each pass, fifty times a second, with a line in the log each time.
     */
    @Test
    void anUrgentGangKeepsTheRoomThatIsSetAsideForIt() {
        fixture.target("t1", "r1");
        Step lengthy =
                new Step(1, new Resources(1_000, 1_000, 8), 60_000, List.of(), Step.Constraints.NONE, Step.Mode.PLAIN);
        fixture.submit(fixture.job("patient", "x", 1, lengthy));
        fixture.pass(30_000);
        fixture.submit(fixture.job("urgent", "y", 0, PoolFixture.gang(1, 8, false)));
        List<String> lines = new ArrayList<>();
        Handler handler = recorder(lines);
        Logger logger = Logger.getLogger(PlacementPass.class.getName());
        logger.addHandler(handler);
        for (int i = 0; i < 250; i++) {
            fixture.pass(20);
        }
        logger.removeHandler(handler);
        assertThat(fixture.stops).isEmpty();
        assertThat(lines.size()).isAtMost(5);
    }

    private static Handler recorder(List<String> lines) {
        return new Handler() {
            @Override
            public void publish(LogRecord record) {
                lines.add(record.getMessage());
            }

            @Override
            public void flush() {
                // Nothing is held back.
            }

            @Override
            public void close() {
                // Nothing to close.
            }
        };
    }

    /** The newest run gains two percent each half second, so it takes five times its estimate. */
    private void crawl(int reports) {
        Order.Start start = fixture.starts.get(fixture.starts.size() - 1);
        for (int i = 1; i <= reports; i++) {
            fixture.pass(500);
            fixture.progress(start, 2 * i);
        }
        fixture.settle();
    }

    @Test
    void aRunWithoutProgressGoesOnElsewhere() {
        fixture.target("t1", "r1");
        fixture.submit(fixture.job("a", "x", 1, PoolFixture.plain(1, 8)));
        fixture.target("t2", "r1");
        Order.Start start = fixture.starts.get(0);
        for (int i = 0; i < 8; i++) {
            fixture.pass(500);
            fixture.progress(start, 10);
        }
        fixture.settle();
        assertThat(fixture.stops).isNotEmpty();
        fixture.obeyStops();
        assertThat(fixture.starts.get(1).target()).isEqualTo("t2");
    }
}
