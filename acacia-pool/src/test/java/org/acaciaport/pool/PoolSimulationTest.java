package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** Tests of the pool under whole simulated loads; the bounds are the goals that the users set. */
final class PoolSimulationTest {
    private static final long LENGTH_MILLIS = 60_000;

    private static PoolSimulation.Results simulate(
            PoolSimulation.Deployment deployment, long seed, PoolSimulation.Burst... bursts) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        return PoolSimulation.simulate(deployment, LENGTH_MILLIS, List.of(bursts), random);
    }

    /** Under a steady rendering load, each kind of request earns at least half of its value. */
    @Test
    void aSteadyLoadServesEveryKind() {
        for (long seed = 1; seed <= 4; seed++) {
            simulate(Deployments.RENDERING, seed).kinds().forEach((kind, result) -> assertThat(result.valueFraction())
                    .isAtLeast(0.5));
        }
    }

    /** Guards against starvation of waiting roster gangs by bursts of urgent matches; longer waits are accepted. */
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
    void theSameSeedGivesTheSameResults() {
        assertThat(simulate(Deployments.RENDERING, 7)).isEqualTo(simulate(Deployments.RENDERING, 7));
    }
}
