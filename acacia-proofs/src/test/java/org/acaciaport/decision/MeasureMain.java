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
 * The command-line program that prints how each {@link RuleSet} serves the same simulated load.
 *
 * <p>In the load, one account fills the data centre with small work, bursts of it and gangs. Another submits a gang
 * every 4 minutes, for which it claims accelerators, and a large job every 5 minutes. Four accounts submit previews in
 * turn. The data centre is out of service for one minute in the middle of the run.
 */
final class MeasureMain {
    private static final long MINUTE_MILLIS = 60_000;
    private static final long LOAD_MINUTES = 60;
    private static final long MAX_SETTLE_MILLIS = 3_600_000;

    private final CellSimulation simulation;
    private final RandomGenerator random;
    private final Configuration configuration;
    private final Map<String, String> kindByRequest = new TreeMap<>();
    private double fragmentationSum;
    private int fragmentationSamples;
    private long usedUnitsAfterReturn;
    private long capacityAfterReturn;

    private MeasureMain(RuleSet ruleSet, long seed, Configuration configuration) {
        this.configuration = configuration;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        simulation = new CellSimulation(
                seed, configuration, Deployments.firstDataCentre(configuration), Policy.STANDARD, ruleSet.rules());
    }

    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("measure").build();
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--deployment").choices("kigali", "dk-vest").setDefault("kigali");
        Namespace parsed = parser.parseArgsOrFail(arguments);
        Configuration configuration = Deployments.read(Path.of("."), parsed.getString("deployment"));
        System.out.println("deployment " + parsed.getString("deployment") + " seed " + parsed.getLong("seed"));
        for (RuleSet ruleSet : RuleSet.values()) {
            MeasureMain measurement = new MeasureMain(ruleSet, parsed.getLong("seed"), configuration);
            measurement.runLoad();
            measurement.printResults(ruleSet);
        }
    }

    private void runLoad() {
        simulation.continueAfterViolations();
        long start = simulation.now();
        for (long second = 0; second < LOAD_MINUTES * 60; second++) {
            submitLoadOfSecond(second);
            simulation.advance(start + (second + 1) * 1_000);
            sampleUsage(second);
        }
        simulation.settle(MAX_SETTLE_MILLIS);
    }

    /** Submits the requests of one second of the load, which uses the first four profiles of the deployment. */
    private void submitLoadOfSecond(long second) {
        String busyAccount = configuration.accounts().get(0).name();
        String occasionalAccount = configuration.accounts().get(1).name();
        Profile preview = profile(0);
        Profile small = profile(1);
        Profile gang = profile(2);
        Profile large = profile(3);
        for (int i = 0; i < 3; i++) {
            submit(busyAccount, small, "small", random.nextLong(10_000, 40_000));
        }
        if (second % 300 == 100) {
            for (int i = 0; i < 200; i++) {
                submit(busyAccount, small, "small", random.nextLong(5_000, 30_000));
            }
        }
        submit(
                configuration.accounts().get((int) (second % 4)).name(),
                preview,
                "preview",
                random.nextLong(200, 1_500));
        if (second % 240 == 150) {
            submit(occasionalAccount, gang, "claim", random.nextLong(10_000, 30_000));
        }
        if (second % 20 == 0) {
            submit(busyAccount, gang, "gang", random.nextLong(5_000, 30_000));
        }
        if (second % 300 == 0) {
            submit(occasionalAccount, large, "large", random.nextLong(10_000, 30_000));
        }
        if (second == LOAD_MINUTES * 30) {
            simulation.setOutOfService(true);
        }
        if (second == LOAD_MINUTES * 30 + 60) {
            simulation.setOutOfService(false);
        }
    }

    private Profile profile(int index) {
        return configuration.profiles().get(index);
    }

    private void submit(String account, Profile profile, String kind, long runMillis) {
        kindByRequest.put(simulation.submit(account, profile, runMillis), kind);
    }

    /** Adds the share of free accelerators on partly used targets and, after the return to service, the usage. */
    private void sampleUsage(long second) {
        Fleet fleet = simulation.state().fleet();
        int capacity = fleet.targets().values().stream()
                .mapToInt(TargetState::capacity)
                .sum();
        int used = fleet.used();
        if (used < capacity) {
            int onEmptyTargets = fleet.targets().values().stream()
                    .filter(t -> t.load().used() == 0)
                    .mapToInt(TargetState::capacity)
                    .sum();
            fragmentationSum += 1 - (double) onEmptyTargets / (capacity - used);
            fragmentationSamples++;
        }
        long backInServiceSecond = LOAD_MINUTES * 30 + 60;
        if (second >= backInServiceSecond && second < backInServiceSecond + 60) {
            usedUnitsAfterReturn += used;
            capacityAfterReturn += capacity;
        }
    }

    private void printResults(RuleSet ruleSet) {
        System.out.printf("%n%s%n", ruleSet);
        Map<Violation.Invariant, Integer> violationCounts = new TreeMap<>();
        simulation.violations().forEach(v -> violationCounts.merge(v.invariant(), 1, Integer::sum));
        System.out.println("  checks that failed: " + violationCounts);
        simulation.violations().stream().limit(1).forEach(v -> System.out.println("  first: " + v));
        System.out.printf(
                "  %-8s %7s %7s %9s %9s %9s %9s%n", "kind", "number", "done", "p50 s", "p90 s", "p99 s", "max s");
        for (String kind : new String[] {"preview", "small", "gang", "claim", "large"}) {
            Histogram histogram = new Histogram(3);
            int submitted = 0;
            int done = 0;
            for (Map.Entry<String, Request> entry : simulation.accepted().entrySet()) {
                if (!kindByRequest.get(entry.getKey()).equals(kind)) {
                    continue;
                }
                submitted++;
                long millis = simulation.completionMillis(entry.getKey());
                boolean finished = simulation.answers().get(entry.getKey()) instanceof Outcome.Done;
                done += finished ? 1 : 0;
                if (finished) {
                    histogram.recordValue(millis);
                }
            }
            System.out.printf(
                    "  %-8s %7d %7d %9.2f %9.2f %9.2f %9.2f%n",
                    kind,
                    submitted,
                    done,
                    histogram.getValueAtPercentile(50) / 1e3,
                    histogram.getValueAtPercentile(90) / 1e3,
                    histogram.getValueAtPercentile(99) / 1e3,
                    histogram.getMaxValue() / 1e3);
        }
        System.out.printf(
                "  free accelerators not on empty targets: %.0f%%%n",
                100 * fragmentationSum / Math.max(1, fragmentationSamples));
        System.out.printf(
                "  accelerators in use in the minute after the return: %.0f%%%n",
                100.0 * usedUnitsAfterReturn / Math.max(1, capacityAfterReturn));
    }
}
