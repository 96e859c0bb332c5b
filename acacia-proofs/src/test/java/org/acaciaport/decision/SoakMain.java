package org.acaciaport.decision;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.acaciaport.config.Configuration;

/** One long randomised run from the command line. */
final class SoakMain {
    private static final long SETTLE_MILLIS = 7_200_000;

    private SoakMain() {}

    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("soak").build();
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--steps").type(Long.class).setDefault(200_000L);
        parser.addArgument("--deployment").choices("kigali", "dk-vest").setDefault("kigali");
        parser.addArgument("--without").nargs("*").type(Fault.class).setDefault(List.of());
        Namespace parsed = parser.parseArgsOrFail(arguments);
        Configuration configuration = Deployments.read(Path.of("."), parsed.getString("deployment"));
        CellDriver driver = new CellDriver(
                parsed.getLong("seed"), configuration, Deployments.first(configuration), Policy.STANDARD, new Rules());
        Map<Fault, Integer> weights = weights();
        parsed.<Fault>getList("without").forEach(weights::remove);
        driver.run(parsed.getLong("steps"), weights);
        driver.settle(SETTLE_MILLIS);
        print(parsed, driver);
        int unanswered = driver.accepted().size() - driver.answers().size();
        System.exit(driver.violations().isEmpty() && unanswered == 0 ? 0 : 1);
    }

    static Map<Fault, Integer> weights() {
        Map<Fault, Integer> weights = new TreeMap<>();
        for (Fault fault : Fault.values()) {
            weights.put(fault, fault.weight());
        }
        return weights;
    }

    private static void print(Namespace parsed, CellDriver driver) {
        Map<String, Integer> outcomes = new TreeMap<>();
        driver.answers().values().forEach(o -> outcomes.merge(o.statusName(), 1, Integer::sum));
        System.out.println("deployment " + parsed.getString("deployment") + " seed " + parsed.getLong("seed"));
        System.out.println("steps      " + driver.steps());
        System.out.println("faults     " + driver.faults());
        System.out.println("requests   " + driver.accepted().size() + " answers " + outcomes);
        System.out.println("checks     " + driver.checks());
        System.out.println("digest     " + driver.digest());
        System.out.println("violations " + driver.violations().size());
        driver.accepted().keySet().stream()
                .filter(id -> !driver.answers().containsKey(id))
                .limit(5)
                .forEach(id -> System.out.println(
                        "unanswered " + id + " " + driver.state().job(id).orElse(null)));
        driver.targets().values().stream()
                .filter(t -> !t.running().isEmpty())
                .forEach(t -> System.out.println("left on    " + t.id() + " " + t.running()));
        if (!driver.violations().isEmpty()
                || driver.answers().size() < driver.accepted().size()) {
            driver.violations().forEach(v -> System.out.println("violation  " + v));
            driver.trace().forEach(line -> System.out.println("trace      " + line));
        }
    }
}
