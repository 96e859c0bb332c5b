package org.acaciaport.pool;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.LongStream;

/**
 * Simulates the deployments, with a steady load and with bursts, over several seeds and prints the results. Arguments:
 * number of seeds, first seed. The durations of passes are processor time, and include the first passes of the JVM.
 */
final class PoolLoadMain {
    private static final long LENGTH_MILLIS = 60_000;

    /** Factor by which the deployments of more than 200 targets are simulated less often. */
    private static final int LARGE_DIVISOR = 5;

    private static final List<PoolSimulation.Burst> BURSTS = List.of(
            new PoolSimulation.Burst(0, 5_000, 11_000, 2.5),
            new PoolSimulation.Burst(1, 8_000, 12_000, 2.5),
            new PoolSimulation.Burst(0, 30_000, 36_000, 2.5));

    /** Held in a field, since a logger that is garbage-collected loses its level. */
    private static final Logger LOG = Logger.getLogger("org.acaciaport");

    private PoolLoadMain() {}

    public static void main(String[] args) {
        LOG.setLevel(Level.OFF);
        int seeds = Integer.parseInt(args[0]);
        long first = Long.parseLong(args[1]);
        for (List<PoolSimulation.Burst> bursts : List.of(List.<PoolSimulation.Burst>of(), BURSTS)) {
            String when = bursts.isEmpty() ? "calm" : "bursts";
            print("rendering " + when, Deployments.RENDERING, bursts, seeds, first);
            print("booking " + when, Deployments.BOOKING, bursts, seeds, first);
            print("climbing " + when, Deployments.CLIMBING, bursts, seeds, first);
            int fewSeeds = Math.max(1, seeds / LARGE_DIVISOR);
            print("large " + when, Deployments.LARGE_RENDERING, bursts, fewSeeds, first);
            print("auctions " + when, Deployments.AUCTIONS, bursts, fewSeeds, first);
            print("planning " + when, Deployments.PLANNING, bursts, fewSeeds, first);
        }
    }

    private static void print(
            String name,
            PoolSimulation.Deployment deployment,
            List<PoolSimulation.Burst> bursts,
            int seeds,
            long first) {
        PassTimes passTimes = new PassTimes();
        List<PoolSimulation.Results> runs = LongStream.range(first, first + seeds)
                .parallel()
                .mapToObj(seed -> PoolSimulation.simulate(
                        deployment, LENGTH_MILLIS, bursts, randomGenerator(seed), passTimes::add))
                .toList();
        print(name, runs, passTimes);
    }

    private static RandomGenerator randomGenerator(long seed) {
        return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    }

    private static void print(String name, List<PoolSimulation.Results> runs, PassTimes passTimes) {
        double valueFraction = runs.stream()
                .mapToDouble(PoolSimulation.Results::valueFraction)
                .average()
                .orElse(0);
        double wastedCoreSeconds = runs.stream()
                .mapToDouble(PoolSimulation.Results::wastedCoreSeconds)
                .average()
                .orElse(0);
        System.out.printf(
                "%-16s earned %.3f  wasted core-seconds %.0f  longest pass %.1f ms  99%% of passes under %.1f ms%n",
                name, valueFraction, wastedCoreSeconds, passTimes.longestMillis(), passTimes.highPercentileMillis());
        for (String kind : runs.get(0).kinds().keySet()) {
            printKind(
                    kind,
                    runs.stream().map(results -> results.kinds().get(kind)).toList());
        }
    }

    private static void printKind(String kind, List<PoolSimulation.KindResult> results) {
        double valueFraction = results.stream()
                .mapToDouble(PoolSimulation.KindResult::valueFraction)
                .average()
                .orElse(0);
        int inTime =
                results.stream().mapToInt(PoolSimulation.KindResult::inTime).sum();
        int late = results.stream().mapToInt(PoolSimulation.KindResult::late).sum();
        int missed =
                results.stream().mapToInt(PoolSimulation.KindResult::missed).sum();
        System.out.printf(
                "    %-8s earned %.3f  in time %d  late %d  of no use %d%n", kind, valueFraction, inTime, late, missed);
    }
}
