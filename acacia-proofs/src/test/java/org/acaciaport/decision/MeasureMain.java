package org.acaciaport.decision;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.HdrHistogram.Histogram;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.Profile;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * Prints, for one seeded load in virtual time, how this policy and two simpler ones do.
 *
 * <p>The load: one account floods the data centre with small work and bursts of it, another claims a gang every few
 * minutes, all submit previews, and a large job is always waiting. The data centre is out for a minute half-way.
 */
final class MeasureMain {
    private static final long MINUTE = 60_000;
    private static final long MINUTES = 60;
    private static final long SETTLE_MILLIS = 3_600_000;

    private final CellDriver driver;
    private final RandomGenerator random;
    private final Configuration configuration;
    private final Map<String, String> kinds = new TreeMap<>();
    private double fragmentation;
    private int samples;
    private long busyDuringReturn;
    private long possibleDuringReturn;

    private MeasureMain(Baseline baseline, long seed, Configuration configuration) {
        this.configuration = configuration;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        driver = new CellDriver(
                seed, configuration, Deployments.first(configuration), Policy.STANDARD, baseline.rules());
    }

    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("measure").build();
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--deployment").choices("kigali", "dk-vest").setDefault("kigali");
        Namespace parsed = parser.parseArgsOrFail(arguments);
        Configuration configuration = Deployments.read(Path.of("."), parsed.getString("deployment"));
        System.out.println("deployment " + parsed.getString("deployment") + " seed " + parsed.getLong("seed"));
        for (Baseline baseline : Baseline.values()) {
            MeasureMain run = new MeasureMain(baseline, parsed.getLong("seed"), configuration);
            run.load();
            run.print(baseline);
        }
    }

    private void load() {
        driver.goOnAfterViolations();
        long start = driver.now();
        for (long second = 0; second < MINUTES * 60; second++) {
            second(second);
            driver.advance(start + (second + 1) * 1_000);
            sample(second);
        }
        driver.settle(SETTLE_MILLIS);
    }

    private void second(long second) {
        String flood = configuration.accounts().get(0).name();
        String rare = configuration.accounts().get(1).name();
        Profile preview = profile(0);
        Profile small = profile(1);
        Profile gang = profile(2);
        Profile large = profile(3);
        for (int i = 0; i < 3; i++) {
            submit(flood, small, "small", random.nextLong(10_000, 40_000));
        }
        if (second % 300 == 100) {
            for (int i = 0; i < 200; i++) {
                submit(flood, small, "small", random.nextLong(5_000, 30_000));
            }
        }
        submit(
                configuration.accounts().get((int) (second % 4)).name(),
                preview,
                "preview",
                random.nextLong(200, 1_500));
        if (second % 240 == 150) {
            submit(rare, gang, "claim", random.nextLong(10_000, 30_000));
        }
        if (second % 20 == 0) {
            submit(flood, gang, "gang", random.nextLong(5_000, 30_000));
        }
        if (second % 300 == 0) {
            submit(rare, large, "large", random.nextLong(10_000, 30_000));
        }
        if (second == MINUTES * 30) {
            driver.takeOut(true);
        }
        if (second == MINUTES * 30 + 60) {
            driver.takeOut(false);
        }
    }

    private Profile profile(int index) {
        return configuration.profiles().get(index);
    }

    private void submit(String account, Profile profile, String kind, long runMillis) {
        kinds.put(driver.submit(account, profile, runMillis), kind);
    }

    private void sample(long second) {
        Fleet fleet = driver.state().fleet();
        int capacity = fleet.targets().values().stream()
                .mapToInt(TargetState::capacity)
                .sum();
        int used = fleet.used();
        if (used < capacity) {
            int whole = fleet.targets().values().stream()
                    .filter(t -> t.load().used() == 0)
                    .mapToInt(TargetState::capacity)
                    .sum();
            fragmentation += 1 - (double) whole / (capacity - used);
            samples++;
        }
        long back = MINUTES * 30 + 60;
        if (second >= back && second < back + 60) {
            busyDuringReturn += used;
            possibleDuringReturn += capacity;
        }
    }

    private void print(Baseline baseline) {
        System.out.printf("%n%s%n", baseline);
        Map<Violation.Invariant, Integer> broken = new TreeMap<>();
        driver.violations().forEach(v -> broken.merge(v.invariant(), 1, Integer::sum));
        System.out.println("  checks that failed: " + broken);
        driver.violations().stream().limit(1).forEach(v -> System.out.println("  first: " + v));
        System.out.printf(
                "  %-8s %7s %7s %9s %9s %9s %9s%n", "kind", "number", "done", "p50 s", "p90 s", "p99 s", "max s");
        for (String kind : new String[] {"preview", "small", "gang", "claim", "large"}) {
            Histogram histogram = new Histogram(3);
            int number = 0;
            int done = 0;
            for (Map.Entry<String, Request> entry : driver.accepted().entrySet()) {
                if (!kinds.get(entry.getKey()).equals(kind)) {
                    continue;
                }
                number++;
                long millis = driver.completion(entry.getKey());
                boolean finished = driver.answers().get(entry.getKey()) instanceof Outcome.Done;
                done += finished ? 1 : 0;
                if (finished) {
                    histogram.recordValue(millis);
                }
            }
            System.out.printf(
                    "  %-8s %7d %7d %9.2f %9.2f %9.2f %9.2f%n",
                    kind,
                    number,
                    done,
                    histogram.getValueAtPercentile(50) / 1e3,
                    histogram.getValueAtPercentile(90) / 1e3,
                    histogram.getValueAtPercentile(99) / 1e3,
                    histogram.getMaxValue() / 1e3);
        }
        System.out.printf(
                "  free accelerators not on empty targets: %.0f%%%n", 100 * fragmentation / Math.max(1, samples));
        System.out.printf(
                "  accelerators in use in the minute after the return: %.0f%%%n",
                100.0 * busyDuringReturn / Math.max(1, possibleDuringReturn));
    }
}
