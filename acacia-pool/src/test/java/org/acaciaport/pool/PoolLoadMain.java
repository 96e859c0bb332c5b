package org.acaciaport.pool;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Plays both loads, calm and with bursts, over several seeds and prints the sums. Arguments: seeds, first seed. */
final class PoolLoadMain {
    private static final long LENGTH_MILLIS = 60_000;

    private PoolLoadMain() {}

    public static void main(String[] args) {
        Logger.getLogger("org.acaciaport").setLevel(Level.OFF);
        int seeds = Integer.parseInt(args[0]);
        long first = Long.parseLong(args[1]);
        for (boolean burst : new boolean[] {false, true}) {
            play("rendering", Loads.RENDERING, burst, seeds, first);
            play("booking", Loads.BOOKING, burst, seeds, first);
        }
    }

    private static void play(String name, PoolLoad.Deployment deployment, boolean burst, int seeds, long first) {
        List<PoolLoad.Burst> bursts = burst
                ? List.of(
                        new PoolLoad.Burst(0, 5_000, 11_000, 2.5),
                        new PoolLoad.Burst(1, 8_000, 12_000, 2.5),
                        new PoolLoad.Burst(0, 30_000, 36_000, 2.5))
                : List.of();
        double[] shares = new double[3];
        int[][] counts = new int[3][3];
        double wasted = 0;
        double all = 0;
        for (int i = 0; i < seeds; i++) {
            RandomGenerator random =
                    RandomGeneratorFactory.of("L64X128MixRandom").create(first + i);
            PoolLoad.Figures figures = PoolLoad.play(deployment, 60_000, bursts, random);
            for (int k = 0; k < 3; k++) {
                PoolLoad.Fared fared =
                        figures.kinds().get(deployment.kinds().get(k).name());
                shares[k] += fared.share() / seeds;
                counts[k][0] += fared.inTime();
                counts[k][1] += fared.late();
                counts[k][2] += fared.useless();
            }
            wasted += figures.wasted() / seeds;
            all += figures.share() / seeds;
        }
        print(name, deployment, burst, shares, counts, wasted);
        System.out.printf("      all %.3f net %.3f%n", all, all - wasted * (name.equals("booking") ? 3.0e-6 : 1.1e-5));
    }

    private static RandomGenerator random(long seed) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    private static void print(
            String name,
            PoolLoad.Deployment deployment,
            boolean burst,
            double[] shares,
            int[][] counts,
            double wasted) {
        System.out.printf("%-9s burst=%-5s", name, burst);
        for (int k = 0; k < 3; k++) {
            System.out.printf(
                    "  %s %.3f (%d/%d/%d)",
                    deployment.kinds().get(k).name(), shares[k], counts[k][0], counts[k][1], counts[k][2]);
        }
        System.out.printf("  wasted %.0f%n", wasted);
    }
}
