package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.estimate.EstimatesSnapshot;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what a pool does with the estimates of a former one. */
final class RestoredEstimatesTest {
    private static final int TARGETS = 24;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final long TASK_MILLIS = 10_000;
    private static final long REPORT_INTERVAL_MILLIS = 500;
    private static final int MEASURED_RUNS = 3;

    /** Error of a speed by the rounding of its logarithm in a snapshot. */
    private static final double ROUNDING = 0.001;

    private static final Job.Terms URGENT = new Job.Terms(0, 2, 1.5, 250);

    private final PoolFixture former = new PoolFixture();
    private final PoolFixture next = new PoolFixture();

    @BeforeEach
    void measureTargets() {
        addTargets(former);
        for (int i = 0; i < MEASURED_RUNS; i++) {
            former.submit(former.job("measure" + i, "x", 1, PoolFixture.independentTasks(TARGETS, 8)));
            completeRuns();
        }
    }

    private static void addTargets(PoolFixture fixture) {
        for (int i = 0; i < TARGETS; i++) {
            fixture.addTarget("t%02d".formatted(i), "r" + i / 8);
        }
    }

    private static double speedOf(String target) {
        return SPEEDS[Integer.parseInt(target.substring(1)) % SPEEDS.length];
    }

    /** Runs what has started to its end; each task takes twice as long as declared at nominal speed. */
    private void completeRuns() {
        Map<TaskId, TargetCommand.Start> tasks = new HashMap<>(former.running);
        assertThat(tasks).hasSize(TARGETS);
        for (long elapsed = REPORT_INTERVAL_MILLIS; !tasks.isEmpty(); elapsed += REPORT_INTERVAL_MILLIS) {
            former.advance(REPORT_INTERVAL_MILLIS);
            for (TargetCommand.Start start : new ArrayList<>(tasks.values())) {
                double progress = elapsed * speedOf(start.target()) / TASK_MILLIS;
                if (progress >= 1) {
                    tasks.remove(start.task());
                    former.endRun(start.task(), TargetReport.EndReason.DONE);
                } else {
                    former.reportProgress(start, (int) (100 * progress));
                }
            }
        }
    }

    private int restore() {
        return next.pool.restoreEstimates(former.pool.estimatesSnapshot(), next.now());
    }

    /** Asserts that the targets of {@code restored} have the speeds in {@code snapshot}. */
    private static void assertSpeeds(EstimateSummary restored, EstimatesSnapshot snapshot) {
        double[] speeds = snapshot.t().stream()
                .mapToDouble(line -> Math.exp(line.s() / 1e3))
                .sorted()
                .toArray();
        assertThat(restored.knownTargets()).isEqualTo(speeds.length);
        assertThat(restored.slowest()).isWithin(ROUNDING).of(speeds[0]);
        assertThat(restored.fastest()).isWithin(ROUNDING).of(speeds[speeds.length - 1]);
    }

    /** Asserts that two snapshots tell the same; the order of their lines changes whenever a pool uses estimates. */
    private static void assertSameLines(EstimatesSnapshot actual, EstimatesSnapshot expected) {
        assertThat(actual.t()).containsExactlyElementsIn(expected.t());
        assertThat(actual.all()).isEqualTo(expected.all());
        assertThat(actual.q()).containsExactlyElementsIn(expected.q());
        assertThat(actual.p()).containsExactlyElementsIn(expected.p());
    }

    /** Guards against a leader change after which durations and speeds are learned anew. */
    @Test
    void aNewTermStartsFromTheSpeedsAndDurationsOfTheFormerOne() {
        assertThat(restore()).isEqualTo(0);
        addTargets(next);
        EstimateSummary summary = former.pool.estimateSummary();
        assertThat(summary.knownTargets()).isEqualTo(TARGETS);
        assertThat(summary.fastest() / summary.slowest()).isWithin(0.3).of(1.6 / 0.6);
        assertSpeeds(next.pool.estimateSummary(), former.pool.estimatesSnapshot());
        assertSameLines(next.pool.estimatesSnapshot(), former.pool.estimatesSnapshot());
        System.out.printf(
                "known: %d targets, speeds %.3f to %.3f%n",
                summary.knownTargets(), summary.slowest(), summary.fastest());
    }

    /** Guards against urgent work that a new leader puts on slow targets, which the former one avoided. */
    @Test
    void aNewTermPlacesBySpeedAtOnce() {
        restore();
        addTargets(next);
        next.submit(new Job(
                "urgent",
                "queue",
                PoolFixture.SERVICE,
                "x",
                URGENT,
                "payload",
                List.of(PoolFixture.gang(5, 8, true)),
                Job.Schedule.NOW,
                next.now().wallClockMillis()));
        assertThat(next.startsOf("urgent")).hasSize(5);
        for (TargetCommand.Start start : next.startsOf("urgent")) {
            assertThat(speedOf(start.target())).isAtLeast(1.0);
        }
    }

    /** Guards against targets that count as unmeasured since they reported before the restore. */
    @Test
    void targetsThatReportedBeforeGetTheirSpeeds() {
        addTargets(next);
        assertThat(next.pool.estimateSummary().knownTargets()).isEqualTo(0);
        restore();
        assertSpeeds(next.pool.estimateSummary(), former.pool.estimatesSnapshot());
    }

    /** Guards against the speed of a machine that is no longer behind the name of a target. */
    @Test
    void aTargetThatRestartedMeanwhileStartsFromThePrior() {
        restore();
        addTargets(next);
        next.restartTarget("t02", "r0");
        next.report("t02");
        assertThat(next.pool.estimateSummary().knownTargets()).isEqualTo(TARGETS - 1);
    }

    /** Guards against a leader that fails because another program wrote the record, or an earlier build. */
    @Test
    void withoutAUsableSnapshotThePoolStartsFromThePrior() {
        EstimatesSnapshot prior = next.pool.estimatesSnapshot();
        assertThat(next.pool.restoreEstimates(null, next.now())).isEqualTo(1);
        assertThat(next.pool.restoreEstimates(new EstimatesSnapshot(1, null, null, null, null), next.now()))
                .isEqualTo(4);
        assertThat(next.pool.estimatesSnapshot()).isEqualTo(prior);
    }

    /** Guards against speeds that stay in use after they were switched off, or are lost when switched on again. */
    @Test
    void speedsAreOutOfUseWhileLearningIsOff() {
        EstimatesSnapshot learned = former.pool.estimatesSnapshot();
        former.pool.use(new PoolFeatures(false, true, true), former.now());
        assertThat(former.pool.estimateSummary().knownTargets()).isEqualTo(0);
        former.pool.use(PoolFeatures.ALL, former.now());
        assertSpeeds(former.pool.estimateSummary(), learned);
    }
}
