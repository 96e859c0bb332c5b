package org.acaciaport.estimate;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what the facade records of steps. */
final class EstimatesTest {
    private static final Work WORK = new Work("queue", "account", 10);
    private final Estimates estimates = new Estimates();

    private double logMedian() {
        return estimates.expectedOfStep("step", WORK).logMedian();
    }

    /** Guards against projections of one run, twice a second, that count as so many independent runs. */
    @Test
    void repeatedProjectionsOfARunCountOnce() {
        estimates.recordProgress("step", WORK, "t", 1, "run", 20, 0.05, 0);
        Distribution once = estimates.expectedOfStep("step", WORK);
        for (int i = 0; i < 100; i++) {
            estimates.recordProgress("step", WORK, "t", 1, "run", 20, 0.05, i);
        }
        assertThat(estimates.expectedOfStep("step", WORK)).isEqualTo(once);
    }

    /** Guards against a rough first projection that outlives the exact ones after it. */
    @Test
    void laterProjectionsReplaceEarlierOnes() {
        estimates.recordProgress("step", WORK, "t", 1, "run", 18, 0.3, 0);
        estimates.recordProgress("step", WORK, "t", 1, "run", 15, 0.1, 0);
        estimates.recordProgress("step", WORK, "t", 1, "run", 14, 0.01, 0);
        double replaced = logMedian();
        Estimates direct = new Estimates();
        direct.recordProgress("step", WORK, "t", 1, "run", 14, 0.01, 0);
        assertThat(replaced)
                .isWithin(0.03)
                .of(direct.expectedOfStep("step", WORK).logMedian());
    }

    /** Guards against a step whose first runs say nothing about its other tasks. */
    @Test
    void theRunsOfAStepMoveTheEstimateOfItsOtherTasks() {
        for (int i = 0; i < 5; i++) {
            estimates.recordCompleted("step", WORK, "t" + i, 1, "run-" + i, 30, 0);
        }
        assertThat(estimates.expectedOfStep("step", WORK).medianSeconds())
                .isWithin(4)
                .of(30);
        assertThat(estimates.expected(WORK).medianSeconds()).isWithin(0.01).of(10);
        estimates.forgetStep("step");
        assertThat(estimates.expected(WORK).medianSeconds()).isGreaterThan(10.5);
    }

    /** Guards against a queue that one large step dominates: 40 equal tasks are one observation. */
    @Test
    void aStepOfManyTasksIsOneObservationOfItsQueue() {
        for (int i = 0; i < 40; i++) {
            estimates.recordCompleted("step", WORK, "t" + i, 1, "run-" + i, 30, 0);
        }
        estimates.forgetStep("step");
        assertThat(estimates.snapshot().p().getFirst().m().getFirst()).isAtMost(100L);
        assertThat(estimates.expected(WORK).medianSeconds()).isLessThan(20.0);
    }

    /** Guards against estimates from completed runs alone, and against a stop that counts several times. */
    @Test
    void censoredRunsRaiseEstimatesOfStepsAndQueues() {
        for (int i = 0; i < 5; i++) {
            estimates.recordCensored("step", WORK, "t" + i, 1, "run-" + i, 25, 0);
        }
        double raised = logMedian();
        estimates.recordCensored("step", WORK, "t0", 1, "run-0", 25, 0);
        assertThat(logMedian()).isEqualTo(raised);
        assertThat(raised).isGreaterThan(Math.log(18));
        estimates.forgetStep("step");
        assertThat(estimates.expected(WORK).medianSeconds()).isGreaterThan(10.5);
    }

    /** Guards against NaN, infinity, zero or negative durations when declared durations are ten times off. */
    @Test
    void wrongEstimatesAndReportsGiveSaneNumbers() {
        double[] odd = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, Double.MIN_VALUE, Double.MAX_VALUE, 1, 100, 1_000};
        int step = 0;
        for (double declared : new double[] {0, 1, 100, Double.MAX_VALUE}) {
            Work work = new Work("queue", "account", declared);
            for (double seconds : odd) {
                for (double deviation : odd) {
                    String name = "step-" + step++;
                    estimates.recordProgress(name, work, "t", 1, "a", seconds, deviation, 0);
                    estimates.recordCensored(name, work, "t", 1, "b", seconds, 0);
                    estimates.recordCompleted(name, work, "t", 1, "c", seconds, 0);
                    assertSane(estimates.expectedOfStep(name, work));
                    estimates.forgetStep(name);
                    assertSane(estimates.expected(work));
                    double logSpeed = Math.log(estimates.speed("t", 1, 0).factor());
                    assertThat(logSpeed)
                            .isWithin(TargetSpeeds.MAX_LOG_SPEED + 1e-9)
                            .of(0);
                }
            }
        }
    }

    private static void assertSane(Distribution distribution) {
        for (double seconds : List.of(
                distribution.medianSeconds(),
                distribution.quantileSeconds(0.9),
                distribution.remainingMedianSeconds(1e6))) {
            assertThat(seconds).isAtLeast(Seconds.MIN * 0.999);
            assertThat(seconds).isAtMost(Seconds.MAX * 1.001);
        }
    }

    /** Guards against decisions that differ when the same events are played again. */
    @Test
    void equalEventsGiveEqualEstimates() {
        SimulatedRuns first = new SimulatedRuns(7, 60, 0.6, 1, 1.6);
        SimulatedRuns second = new SimulatedRuns(7, 60, 0.6, 1, 1.6);
        for (int i = 0; i < 50; i++) {
            first.step("queue", 8, 20);
            second.step("queue", 8, 20);
        }
        assertThat(first.estimates.snapshot()).isEqualTo(second.estimates.snapshot());
        assertThat(first.estimates.expected(WORK)).isEqualTo(second.estimates.expected(WORK));
    }

    /** Guards against memory that grows with steps, runs and targets that are never forgotten. */
    @Test
    void stepsRunsAndTargetsTakeBoundedMemory() {
        StepDurations steps = new StepDurations(new TargetSpeeds());
        Distribution prior = new Distribution(2, 0.5);
        for (int i = 0; i < 100_000; i++) {
            steps.start("step" + i, WORK, prior);
        }
        assertThat(steps.size()).isEqualTo(StepDurations.MAX_STEPS);
        TargetSpeeds speeds = new TargetSpeeds();
        for (int i = 0; i < 5_000; i++) {
            speeds.observe("t" + i, 1, 0, 1, 0);
        }
        assertThat(speeds.states()).hasSize(TargetSpeeds.MAX_TARGETS);
    }

    /** Guards against metrics that call learned estimates better, or worse, than they are. */
    @Test
    void theAccuracyOfDeclaredAndLearnedDurationsIsKeptByQueue() {
        for (int i = 0; i < 60; i++) {
            for (int task = 0; task < 10; task++) {
                estimates.recordCompleted("s" + i, WORK, "t" + task, 1, "run" + task, 40, 0);
            }
            estimates.forgetStep("s" + i);
        }
        EstimateAccuracy.Accuracy accuracy = estimates.accuracy().of("queue").orElseThrow();
        assertThat(accuracy.declared().count()).isEqualTo(60);
        assertThat(accuracy.learned().count()).isEqualTo(60);
        assertThat(accuracy.declared().median()).isWithin(0.2).of(Math.log(4));
        assertThat(accuracy.learned().median()).isLessThan(0.3);
        assertThat(accuracy.learned().high()).isAtLeast(accuracy.learned().median());
        assertThat(estimates.accuracy().of("other")).isEmpty();
    }
}
