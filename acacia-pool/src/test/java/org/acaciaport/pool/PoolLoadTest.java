package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** What becomes of whole loads; the bounds are the targets of the users' pages. */
final class PoolLoadTest {
    private static final long LENGTH_MILLIS = 60_000;

    private static PoolLoad.Figures play(PoolLoad.Deployment deployment, long seed, PoolLoad.Burst... bursts) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        return PoolLoad.play(deployment, LENGTH_MILLIS, List.of(bursts), random);
    }

    /** Pattern: a calm day of rendering. Each kind has to earn at least half of what it asks for. */
    @Test
    void aCalmDayServesEveryKind() {
        for (long seed = 1; seed <= 4; seed++) {
            play(Loads.RENDERING, seed).kinds().forEach((kind, fared) -> assertThat(fared.share())
                    .isAtLeast(0.5));
        }
    }

    /** Pattern: urgent matches come in bursts while rosters wait. Rosters wait longer but are not given up. */
    @Test
    void burstsOfUrgentWorkDoNotStarveLargeJobs() {
        PoolLoad.Burst first = new PoolLoad.Burst(0, 5_000, 11_000, 2.5);
        PoolLoad.Burst second = new PoolLoad.Burst(0, 30_000, 36_000, 2.5);
        int done = 0;
        int useless = 0;
        for (long seed = 1; seed <= 4; seed++) {
            PoolLoad.Fared rosters =
                    play(Loads.BOOKING, seed, first, second).kinds().get("roster");
            done += rosters.inTime() + rosters.late();
            useless += rosters.useless();
        }
        assertThat(useless).isLessThan(done);
    }

    @Test
    void theSameSeedGivesTheSameFigures() {
        assertThat(play(Loads.RENDERING, 7)).isEqualTo(play(Loads.RENDERING, 7));
    }
}
