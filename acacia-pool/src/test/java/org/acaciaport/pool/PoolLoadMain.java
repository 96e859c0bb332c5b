package org.acaciaport.pool;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.LongStream;

/** Plays both loads, calm and with bursts, over several seeds and prints the sums. Arguments: seeds, first seed. */
final class PoolLoadMain {
    private static final long LENGTH_MILLIS = 60_000;
    private static final List<PoolLoad.Burst> BURSTS = List.of(
            new PoolLoad.Burst(0, 5_000, 11_000, 2.5),
            new PoolLoad.Burst(1, 8_000, 12_000, 2.5),
            new PoolLoad.Burst(0, 30_000, 36_000, 2.5));

    /** Kept, since a logger that nobody refers to forgets its level. */
    private static final Logger LOG = Logger.getLogger("org.acaciaport");

    private PoolLoadMain() {}

    public static void main(String[] args) {
        LOG.setLevel(Level.OFF);
        int seeds = Integer.parseInt(args[0]);
        long first = Long.parseLong(args[1]);
        for (List<PoolLoad.Burst> bursts : List.of(List.<PoolLoad.Burst>of(), BURSTS)) {
            String when = bursts.isEmpty() ? "calm" : "bursts";
            print("rendering " + when, play(Loads.RENDERING, bursts, seeds, first));
            print("booking " + when, play(Loads.BOOKING, bursts, seeds, first));
        }
    }

    private static List<PoolLoad.Figures> play(
            PoolLoad.Deployment deployment, List<PoolLoad.Burst> bursts, int seeds, long first) {
        return LongStream.range(first, first + seeds)
                .parallel()
                .mapToObj(seed -> PoolLoad.play(deployment, LENGTH_MILLIS, bursts, random(seed)))
                .toList();
    }

    private static RandomGenerator random(long seed) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    private static void print(String name, List<PoolLoad.Figures> plays) {
        double share =
                plays.stream().mapToDouble(PoolLoad.Figures::share).average().orElse(0);
        double wasted =
                plays.stream().mapToDouble(PoolLoad.Figures::wasted).average().orElse(0);
        System.out.printf("%-16s earned %.3f  wasted core-seconds %.0f%n", name, share, wasted);
        for (String kind : plays.get(0).kinds().keySet()) {
            printKind(
                    kind,
                    plays.stream().map(figures -> figures.kinds().get(kind)).toList());
        }
    }

    private static void printKind(String kind, List<PoolLoad.Fared> plays) {
        double share =
                plays.stream().mapToDouble(PoolLoad.Fared::share).average().orElse(0);
        int inTime = plays.stream().mapToInt(PoolLoad.Fared::inTime).sum();
        int late = plays.stream().mapToInt(PoolLoad.Fared::late).sum();
        int useless = plays.stream().mapToInt(PoolLoad.Fared::useless).sum();
        System.out.printf(
                "    %-8s earned %.3f  in time %d  late %d  of no use %d%n", kind, share, inTime, late, useless);
    }
}
