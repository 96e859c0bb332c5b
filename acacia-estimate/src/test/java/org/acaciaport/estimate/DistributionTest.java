package org.acaciaport.estimate;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests quantiles and remaining durations. */
final class DistributionTest {
    private final Distribution distribution = new Distribution(Math.log(10), 0.5);

    /** Guards against a wrong coefficient of the error function: a 90th percentile that is not one. */
    @Test
    void quantilesAreThoseOfTheNormalDistribution() {
        assertThat(distribution.medianSeconds()).isWithin(1e-9).of(10);
        assertThat(distribution.quantileSeconds(0.5)).isWithin(1e-5).of(10);
        assertThat(distribution.quantileSeconds(0.9)).isWithin(1e-4).of(10 * Math.exp(0.5 * 1.2815515655));
        assertThat(distribution.quantileSeconds(0.1)).isWithin(1e-4).of(10 * Math.exp(-0.5 * 1.2815515655));
        assertThat(Normal.logSurvival(10)).isWithin(1e-5).of(-53.23128515);
        assertThat(Normal.hazard(30)).isWithin(1e-5).of(30.0332594);
    }

    /** Guards against a jump of the hazard where its two formulas meet. */
    @Test
    void theFormulasOfTheTailMeet() {
        assertThat(Normal.logSurvival(20 + 1e-9)).isWithin(1e-4).of(Normal.logSurvival(20 - 1e-9));
        assertThat(Normal.hazard(20 + 1e-9)).isWithin(1e-4).of(Normal.hazard(20 - 1e-9));
    }

    /** Guards against a remaining time of zero, infinity or NaN for runs far above their estimate. */
    @Test
    void theRemainingTimeIsSaneHoweverLongTheRunHasLasted() {
        assertThat(distribution.remainingMedianSeconds(0)).isWithin(1e-9).of(10);
        assertThat(distribution.remainingMedianSeconds(1)).isWithin(0.1).of(9);
        for (double deviation : new double[] {0, 0.05, 0.3, 1, 10}) {
            Distribution each = new Distribution(Math.log(10), deviation);
            for (double elapsed = 0.001; elapsed < 1e12; elapsed *= 2) {
                double remaining = each.remainingMedianSeconds(elapsed);
                assertThat(remaining).isAtLeast(Seconds.MIN);
                assertThat(remaining).isAtMost(Seconds.MAX);
            }
        }
    }

    /** Guards against a run at seven times its median that is expected to end at once, or never. */
    @Test
    void aRunOfTheTailIsExpectedToLastAPartOfItsElapsedTimeMore() {
        double remaining = new Distribution(Math.log(10), 0.3).remainingMedianSeconds(70);
        assertThat(remaining).isGreaterThan(1.0);
        assertThat(remaining).isLessThan(10.0);
    }

    /** Guards against a duration that is multiplied where it must be divided. */
    @Test
    void aFastTargetShortensTheDuration() {
        assertThat(distribution.dividedBySpeed(1.6).medianSeconds())
                .isWithin(1e-9)
                .of(6.25);
        assertThrows(IllegalArgumentException.class, () -> distribution.dividedBySpeed(0));
    }

    /** Guards against NaN that spreads from a median into an order of placement. */
    @Test
    void numbersThatAreNotFiniteAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new Distribution(Double.NaN, 1));
        assertThrows(IllegalArgumentException.class, () -> new Distribution(0, Double.POSITIVE_INFINITY));
    }
}
