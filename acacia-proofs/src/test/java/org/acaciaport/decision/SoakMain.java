package org.acaciaport.decision;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.acaciaport.config.Configuration;

/**
 * The command-line program that runs one long simulation with random faults and prints its results.
 *
 * <p>Exits with 1 if an invariant was violated or a request was left unanswered, and otherwise with 0.
 */
final class SoakMain {
    private static final long MAX_SETTLE_MILLIS = 7_200_000;

    private SoakMain() {}

    public static void main(String[] arguments) throws Exception {
        ArgumentParser parser = ArgumentParsers.newFor("soak").build();
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        parser.addArgument("--steps").type(Long.class).setDefault(200_000L);
        parser.addArgument("--deployment").choices("kigali", "dk-vest").setDefault("kigali");
        parser.addArgument("--without").nargs("*").type(Fault.class).setDefault(List.of());
        Namespace parsed = parser.parseArgsOrFail(arguments);
        Configuration configuration = Deployments.read(Path.of("."), parsed.getString("deployment"));
        CellSimulation simulation = new CellSimulation(
                parsed.getLong("seed"),
                configuration,
                Deployments.firstDataCentre(configuration),
                Policy.STANDARD,
                new Rules());
        Map<Fault, Integer> weights = defaultWeights();
        parsed.<Fault>getList("without").forEach(weights::remove);
        simulation.run(parsed.getLong("steps"), weights);
        simulation.settle(MAX_SETTLE_MILLIS);
        printResults(parsed, simulation);
        int unanswered = simulation.accepted().size() - simulation.answers().size();
        System.exit(simulation.violations().isEmpty() && unanswered == 0 ? 0 : 1);
    }

    /** Returns the weights of all faults. */
    static Map<Fault, Integer> defaultWeights() {
        Map<Fault, Integer> weights = new TreeMap<>();
        for (Fault fault : Fault.values()) {
            weights.put(fault, fault.weight());
        }
        return weights;
    }

    private static void printResults(Namespace parsed, CellSimulation simulation) {
        Map<String, Integer> outcomes = new TreeMap<>();
        simulation.answers().values().forEach(o -> outcomes.merge(o.statusName(), 1, Integer::sum));
        System.out.println("deployment " + parsed.getString("deployment") + " seed " + parsed.getLong("seed"));
        System.out.println("steps      " + simulation.steps());
        System.out.println("faults     " + simulation.faults());
        System.out.println("requests   " + simulation.accepted().size() + " answers " + outcomes);
        System.out.println("checks     " + simulation.checks());
        System.out.println("digest     " + simulation.digest());
        System.out.println("violations " + simulation.violations().size());
        simulation.accepted().keySet().stream()
                .filter(id -> !simulation.answers().containsKey(id))
                .limit(5)
                .forEach(id -> System.out.println(
                        "unanswered " + id + " " + simulation.state().job(id).orElse(null)));
        simulation.targets().values().stream()
                .filter(t -> !t.runningKeys().isEmpty())
                .forEach(t -> System.out.println("left on    " + t.id() + " " + t.runningKeys()));
        if (!simulation.violations().isEmpty()
                || simulation.answers().size() < simulation.accepted().size()) {
            simulation.violations().forEach(v -> System.out.println("violation  " + v));
            simulation.trace().forEach(line -> System.out.println("trace      " + line));
        }
    }
}
