package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** What becomes of whole loads; the bounds are the targets of the users' pages. */
final class PoolSimulationTest {
    private static final long LENGTH_MILLIS = 60_000;

    private static PoolSimulation.Results simulate(
            PoolSimulation.Deployment deployment, long seed, PoolSimulation.Burst... bursts) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        return PoolSimulation.simulate(deployment, LENGTH_MILLIS, List.of(bursts), random);
    }

    /** Pattern: a calm day of rendering. Each kind has to earn at least half of what it asks for. */
    @Test
    void aCalmDayServesEveryKind() {
        for (long seed = 1; seed <= 4; seed++) {
            simulate(Deployments.RENDERING, seed).kinds().forEach((kind, fared) -> assertThat(fared.valueFraction())
                    .isAtLeast(0.5));
        }
    }

    /** Pattern: urgent matches come in bursts while rosters wait. Rosters wait longer but are not given up. */
    @Test
    void burstsOfUrgentWorkDoNotStarveLargeJobs() {
        PoolSimulation.Burst first = new PoolSimulation.Burst(0, 5_000, 11_000, 2.5);
        PoolSimulation.Burst second = new PoolSimulation.Burst(0, 30_000, 36_000, 2.5);
        int done = 0;
        int missed = 0;
        for (long seed = 1; seed <= 4; seed++) {
            PoolSimulation.KindResult rosters =
                    simulate(Deployments.BOOKING, seed, first, second).kinds().get("roster");
            done += rosters.inTime() + rosters.late();
            missed += rosters.missed();
        }
        assertThat(missed).isLessThan(done);
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        assertThat(simulate(Deployments.RENDERING, 7)).isEqualTo(simulate(Deployments.RENDERING, 7));
    }
}
