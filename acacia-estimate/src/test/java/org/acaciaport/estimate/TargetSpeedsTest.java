package org.acaciaport.estimate;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests what is learned of the speeds of targets beside the durations of steps. */
final class TargetSpeedsTest {
    private static final double MEDIAN = 8;
    private static final int SEEDS = 20;

    private static int tasks(Random random) {
        return 5 + random.nextInt(36);
    }

    private static void playSteps(SimulatedRuns runs, int count) {
        for (int i = 0; i < count; i++) {
            runs.step("queue" + i % 3, MEDIAN * (1 + i % 3), tasks(runs.random));
        }
    }

    private static int nearest(double speed, double... speeds) {
        int best = 0;
        for (int i = 1; i < speeds.length; i++) {
            if (Math.abs(Math.log(speed / speeds[i])) < Math.abs(Math.log(speed / speeds[best]))) {
                best = i;
            }
        }
        return best;
    }

    /** Guards against speeds that drown in durations of which only a rough declaration is known. */
    @Test
    void unequalTargetsAreToldApartAfterThreeRunsEach() {
        double[] cycle = {0.6, 1.0, 1.6};
        int right = 0;
        int close = 0;
        int all = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 60, cycle);
            for (int round = 0; round < 3; round++) {
                List<Integer> order = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    order.add(i);
                }
                Collections.shuffle(order, runs.random);
                runs.step("queue", MEDIAN, order.subList(0, 13));
                runs.step("queue", MEDIAN, order.subList(13, 20));
                runs.step("queue", MEDIAN, order.subList(20, 60));
            }
            double scale = 0;
            for (int i = 0; i < 60; i++) {
                scale += Math.log(runs.speed(i) / runs.speeds.get(i)) / 60;
            }
            for (int i = 0; i < 60; i++) {
                all++;
                double relative = runs.speed(i) / Math.exp(scale);
                right += nearest(relative, cycle) == i % 3 ? 1 : 0;
                close += Math.abs(Math.log(relative / runs.speeds.get(i))) < 0.15 ? 1 : 0;
            }
        }
        assertThat(right).isAtLeast(all * 95 / 100);
        assertThat(close).isAtLeast(all * 80 / 100);
    }

    /** Guards against errors of speeds that don't shrink with the number of runs. */
    @Test
    void speedsGetMoreExactWithMoreRuns() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 60, 0.6, 1.0, 1.6);
            playSteps(runs, 100);
            for (int i = 0; i < 60; i++) {
                assertThat(Math.log(runs.speed(i) / runs.speeds.get(i)))
                        .isWithin(0.2)
                        .of(0);
            }
            Distribution expected = runs.estimates.expected(new Work("queue0", "account", MEDIAN));
            assertThat(Math.log(expected.medianSeconds() / MEDIAN))
                    .isWithin(0.25)
                    .of(0);
        }
    }

    /** Guards against a slow target that is taken for a slow kind of work. */
    @Test
    void aSlowTargetIsNotTakenForSlowWork() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 20, 1);
            runs.speeds.set(0, 0.4);
            playSteps(runs, 60);
            assertThat(runs.speed(0)).isWithin(0.1).of(0.4);
            Distribution expected = runs.estimates.expected(new Work("queue0", "account", MEDIAN));
            assertThat(Math.log(expected.medianSeconds() / MEDIAN))
                    .isWithin(0.25)
                    .of(0);
        }
    }

    /** Guards against a slow kind of work that makes the targets look slow that run it. */
    @Test
    void slowWorkIsNotTakenForSlowTargets() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 20, 1);
            playSteps(runs, 30);
            for (int i = 0; i < 10; i++) {
                runs.step("queue0", 4 * MEDIAN, List.of(0, 1, 2, 3, 4));
            }
            for (int i = 0; i < 20; i++) {
                assertThat(Math.log(runs.speed(i))).isWithin(0.25).of(0);
            }
        }
    }

    /** Guards against work that is sent for minutes to a target that turned slow, or not back to a recovered one. */
    @Test
    void aTargetThatTurnsSlowAndRecoversIsFollowedWithinFiveRuns() {
        double errors = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 30, 1);
            playSteps(runs, 60);
            for (double speed : new double[] {0.25, 1}) {
                runs.speeds.set(0, speed);
                for (int i = 0; i < 5; i++) {
                    runs.step("queue0", MEDIAN, List.of(1 + i, 7 + i, 0, 13 + i, 20));
                }
                double error = Math.abs(Math.log(runs.speed(0) / speed));
                assertThat(error).isLessThan(TargetSpeeds.MAX_CHANGE);
                errors += error;
            }
        }
        assertThat(errors / (2 * SEEDS)).isLessThan(0.15);
    }

    /** Guards against a slow target that is never recognised because its runs are the only ones of their steps. */
    @Test
    void aTargetThatTurnsSlowIsRecognisedByStepsOfOneTask() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 30, 1);
            playSteps(runs, 60);
            runs.speeds.set(0, 0.25);
            for (int i = 0; i < 8; i++) {
                runs.step("queue0", MEDIAN, List.of(0));
            }
            assertThat(runs.speed(0)).isLessThan(0.6);
        }
    }

    /** Guards against a target that is avoided, or preferred, because of one run of the tail. */
    @Test
    void oneOddRunMovesASpeedByAtMostHalf() {
        for (double odd : new double[] {7, 1 / 7.0}) {
            for (int earlier : new int[] {0, 1, 5, 60}) {
                SimulatedRuns runs = new SimulatedRuns(earlier, 5, 1);
                playSteps(runs, earlier);
                double before = runs.speed(0);
                runs.run("odd", new Work("queue0", "account", MEDIAN), 0, "run-0", odd * MEDIAN);
                double change = Math.abs(Math.log(runs.speed(0) / before));
                assertThat(change).isAtMost(Math.log(1.5) + 0.01);
            }
        }
    }

    /** Guards against a replaced machine that inherits the speed of its predecessor, and against late reports. */
    @Test
    void aNewIncarnationStartsFromThePrior() {
        TargetSpeeds speeds = new TargetSpeeds();
        for (int i = 0; i < 10; i++) {
            speeds.observe("t", 1, Math.log(0.5), 0.02, i);
        }
        assertThat(speeds.speed("t", 1, 10).factor()).isWithin(0.03).of(0.5);
        assertThat(speeds.speed("t", 2, 10)).isEqualTo(TargetSpeeds.Speed.PRIOR);
        speeds.observe("t", 2, 0, 0.02, 11);
        assertThat(speeds.speed("t", 2, 11).factor()).isWithin(0.01).of(1);
        speeds.observe("t", 1, Math.log(0.5), 0.02, 12);
        assertThat(speeds.speed("t", 2, 12).factor()).isWithin(0.01).of(1);
        speeds.forget("t");
        assertThat(speeds.speed("t", 2, 12)).isEqualTo(TargetSpeeds.Speed.PRIOR);
    }

    /** Guards against trust for hours in a speed that was measured once. */
    @Test
    void aSpeedBecomesUncertainWithTime() {
        TargetSpeeds speeds = new TargetSpeeds();
        speeds.observe("t", 1, 0, 0.01, 0);
        double early = speeds.speed("t", 1, 0).logDeviation();
        assertThat(speeds.speed("t", 1, 600 * SimulatedRuns.SECOND).logDeviation())
                .isGreaterThan(early);
        assertThat(speeds.speed("t", 1, Long.MAX_VALUE).logDeviation()).isAtMost(TargetSpeeds.PRIOR_DEVIATION);
        assertThat(speeds.speed("t", 1, -5).logDeviation()).isEqualTo(early);
    }

    /** Guards against tiers of speed in a pool of equally fast targets, which would change its decisions. */
    @Test
    void noiseDoesNotMakeEqualSpeedsDiffer() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 300, 1);
            for (int i = 0; i < 300; i++) {
                playSteps(runs, 1);
                assertThat(runs.estimates.speedsDiffer()).isFalse();
            }
        }
    }

    /** Guards against tiers of speed, or drifting durations, that come from the tail of runs alone. */
    @Test
    void theTailOfLongRunsDoesNotMakeEqualSpeedsDiffer() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedRuns runs = new SimulatedRuns(seed, 300, 1);
            runs.tail = 0.03;
            for (int i = 0; i < 300; i++) {
                playSteps(runs, 1);
                assertThat(runs.estimates.speedsDiffer()).isFalse();
            }
            Distribution expected = runs.estimates.expected(new Work("queue0", "account", MEDIAN));
            assertThat(Math.log(expected.medianSeconds() / MEDIAN))
                    .isWithin(0.25)
                    .of(0);
        }
    }

    /** Guards against a threshold that hides real differences, of a factor of 1.3 on a third of the targets. */
    @Test
    void unequalSpeedsDiffer() {
        for (int seed = 0; seed < SEEDS; seed++) {
            for (double fast : new double[] {1.3, 1.6}) {
                SimulatedRuns runs = new SimulatedRuns(seed, 300, 1, 1, fast);
                playSteps(runs, 150);
                assertThat(runs.estimates.speedsDiffer()).isTrue();
            }
        }
    }

    /** Guards against a common factor of durations and speeds that drifts away over days. */
    @Test
    void theMeanSpeedStaysNearNominal() {
        SimulatedRuns runs = new SimulatedRuns(1, 20, 1.3, 1.3, 2);
        playSteps(runs, 3_000);
        double mean = 0;
        for (int i = 0; i < 20; i++) {
            mean += Math.log(runs.speed(i)) / 20;
        }
        assertThat(mean).isWithin(0.1).of(0);
        assertThat(Math.log(runs.speed(2) / runs.speed(0))).isWithin(0.15).of(Math.log(2 / 1.3));
    }
}
