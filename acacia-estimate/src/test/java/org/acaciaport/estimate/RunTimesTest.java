package org.acaciaport.estimate;

import static com.google.common.truth.Truth.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests what is learned of durations by queue and account. */
final class RunTimesTest {
    private final RunTimes runTimes = new RunTimes();

    private static Work work(double declared) {
        return new Work("queue", "account", declared);
    }

    /** Guards against a prior that is not the one of the design: declared durations right within a factor of 2. */
    @Test
    void withoutRunsTheDeclaredDurationIsExpected() {
        Distribution expected = runTimes.expected(work(8));
        assertThat(expected.medianSeconds()).isWithin(1e-6).of(8);
        assertThat(expected.logDeviation()).isWithin(1e-6).of(Math.log(2));
    }

    /** Guards against learning a mean where the declared durations say more. */
    @Test
    void declaredDurationsThatAreRightWithin20PercentAreKept() {
        for (int seed = 0; seed < 20; seed++) {
            RunTimes learned = new RunTimes();
            Random random = new Random(seed);
            for (int i = 0; i < 300; i++) {
                double duration = 9 * Math.exp(0.8 * random.nextGaussian());
                learned.recordCompleted(work(duration * (0.8 + 0.4 * random.nextDouble())), duration);
            }
            for (double declared : new double[] {3, 9, 30}) {
                Distribution expected = learned.expected(work(declared));
                assertThat(expected.medianSeconds() / declared).isWithin(0.1).of(1);
                assertThat(expected.logDeviation()).isLessThan(0.2);
            }
        }
    }

    /** Guards against trust in declared durations that say nothing: factors of 0.1 to 1.9. */
    @Test
    void declaredDurationsThatAreOffBy90PercentGiveWayToTheMean() {
        for (int seed = 0; seed < 20; seed++) {
            RunTimes learned = new RunTimes();
            Random random = new Random(seed);
            for (int i = 0; i < 200; i++) {
                double duration = 8 * Math.exp(0.3 * random.nextGaussian());
                learned.recordCompleted(work(duration * (0.1 + 1.8 * random.nextDouble())), duration);
            }
            Distribution expected = learned.expected(work(8));
            assertThat(expected.medianSeconds()).isWithin(1.2).of(8);
            assertThat(expected.logDeviation()).isWithin(0.08).of(0.3);
            assertThat(learned.expected(work(0.8)).medianSeconds()).isGreaterThan(4.0);
        }
    }

    /** Guards against a median that drifts upwards with the 3% of runs that last seven times as long. */
    @Test
    void aTailOfLongRunsDoesNotMoveTheMedian() {
        for (int seed = 0; seed < 20; seed++) {
            RunTimes learned = new RunTimes();
            Random random = new Random(seed);
            for (int i = 0; i < 1_000; i++) {
                double usual = 8 * Math.exp(0.3 * random.nextGaussian());
                double duration = random.nextDouble() < 0.03 ? 7 * usual : usual;
                learned.recordCompleted(work(usual * (0.1 + 1.8 * random.nextDouble())), duration);
            }
            assertThat(learned.expected(work(8)).medianSeconds()).isWithin(1.2).of(8);
            assertThat(learned.expected(work(8)).logDeviation()).isLessThan(0.5);
        }
    }

    /** Guards against a division by or logarithm of an unknown declared duration. */
    @Test
    void durationsAreLearnedWithoutDeclaredOnes() {
        assertThat(runTimes.expected(work(0)).medianSeconds()).isWithin(1e-6).of(5);
        Random random = new Random(1);
        for (int i = 0; i < 100; i++) {
            runTimes.recordCompleted(work(0), 40 * Math.exp(0.3 * random.nextGaussian()));
        }
        assertThat(runTimes.expected(work(0)).medianSeconds()).isWithin(5).of(40);
        assertThat(runTimes.expected(work(0)).logDeviation()).isWithin(0.15).of(0.3);
    }

    /** Guards against a new account that starts from nothing although its queue is known. */
    @Test
    void anAccountWithoutRunsLeansOnItsQueue() {
        for (int i = 0; i < 100; i++) {
            runTimes.recordCompleted(new Work("queue", "a" + i % 10, 1 + i % 3), 20);
            runTimes.recordCompleted(new Work("other", "a" + i % 10, 1 + i % 3), 2);
        }
        assertThat(runTimes.expected(new Work("queue", "new", 2)).medianSeconds())
                .isWithin(2)
                .of(20);
        assertThat(runTimes.expected(new Work("other", "new", 2)).medianSeconds())
                .isWithin(0.2)
                .of(2);
    }

    /** Guards against estimates from completed runs alone, which are the short ones. */
    @Test
    void censoredRunsRaiseEstimates() {
        for (int i = 0; i < 30; i++) {
            runTimes.recordCompleted(work(10), 10);
        }
        double before = runTimes.expected(work(10)).medianSeconds();
        runTimes.recordCensored(work(10), 0.1);
        double early = runTimes.expected(work(10)).medianSeconds();
        for (int i = 0; i < 30; i++) {
            runTimes.recordCensored(work(10), 30);
        }
        assertThat(early).isWithin(0.01).of(before);
        assertThat(runTimes.expected(work(10)).medianSeconds()).isGreaterThan(15.0);
    }

    /** Guards against estimates that a change of the work never reaches. */
    @Test
    void aChangeOfTheWorkIsFollowed() {
        for (int i = 0; i < 1_000; i++) {
            runTimes.recordCompleted(work(10), 10);
        }
        for (int i = 0; i < 500; i++) {
            runTimes.recordCompleted(work(10), 30);
        }
        assertThat(runTimes.expected(work(10)).medianSeconds()).isWithin(3).of(30);
    }

    /** Guards against NaN, infinity, zero or negative durations after wrong declared durations or wrong reports. */
    @Test
    void wrongNumbersGiveSaneDurations() {
        double[] odd = {0, -1, Double.NaN, Double.POSITIVE_INFINITY, Double.MIN_VALUE, Double.MAX_VALUE, 1, 10, 100};
        for (double declared : odd) {
            for (double seconds : odd) {
                runTimes.recordCompleted(work(declared), seconds);
                runTimes.recordCensored(work(declared), seconds);
                Distribution expected = runTimes.expected(work(declared));
                assertThat(expected.medianSeconds()).isAtLeast(Seconds.MIN * 0.999);
                assertThat(expected.quantileSeconds(0.9)).isAtMost(Seconds.MAX * 1.001);
                assertThat(expected.remainingMedianSeconds(1)).isGreaterThan(0.0);
            }
        }
    }

    /** Guards against memory that grows with the accounts that have ever submitted work. */
    @Test
    void oneHundredThousandAccountsTakeBoundedMemory() {
        for (int i = 0; i < 100_000; i++) {
            runTimes.recordCompleted(new Work("queue" + i % 5_000, "account" + i, 5), 5);
        }
        assertThat(runTimes.pairs()).hasSize(RunTimes.MAX_PAIRS);
        assertThat(runTimes.queues()).hasSize(RunTimes.MAX_PAIRS);
    }
}
