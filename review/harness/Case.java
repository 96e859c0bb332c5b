import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Plays one case of the review. Arguments: repository, record, name of the scenario, 1 with the disruption or 0
 * without.
 *
 * <p>Exits with 1 if a rule was broken, 0 if all held, 2 if the case could not run.
 */
final class Case {
    /** What happens in one case. */
    interface Scenario {
        /** Creates the deployment. */
        Cluster create(Path repository, Ledger ledger) throws Exception;

        /** Plays; the nodes are ready. */
        void play(Cluster cluster, boolean trouble) throws Exception;
    }

    /** Thrown if a condition of the case did not come about. */
    static final class CannotRun extends Exception {
        private static final long serialVersionUID = 1L;

        CannotRun(String reason) {
            super(reason);
        }
    }

    private Case() {}

    public static void main(String[] arguments) throws Exception {
        Scenario scenario =
                switch (arguments[2]) {
                    case "ManyEnds" -> new ManyEnds();
                    case "LargeJob" -> new LargeJob();
                    case "OneFailure" -> new OneFailure();
                    case "OrphanedTask" -> new OrphanedTask();
                    case "EarlyHangup" -> new EarlyHangup();
                    default -> throw new IllegalArgumentException(arguments[2]);
                };
        int result;
        try {
            result = run(scenario, arguments);
        } catch (Exception | Error e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }

    private static int run(Scenario scenario, String[] arguments) throws Exception {
        Ledger ledger = new Ledger(Path.of(arguments[1]));
        try (Cluster cluster = scenario.create(Path.of(arguments[0]).toAbsolutePath(), ledger)) {
            cluster.startNodes();
            if (!cluster.awaitReady(20_000)) {
                throw new CannotRun("the nodes are not ready in time");
            }
            Cluster.sleep(2_000);
            scenario.play(cluster, arguments[3].equals("1"));
        } finally {
            ledger.log("%s rules broken, %s starts, %s runs done", ledger.broken.size(), ledger.starts, ledger.dones);
            ledger.close();
        }
        System.out.printf(
                "%s trouble=%s: %s breaks, %s starts, %s runs done, %s lapsed%n",
                arguments[2], arguments[3], ledger.broken.size(), ledger.starts, ledger.dones, ledger.lapses);
        ledger.broken.stream().limit(5).forEach(System.out::println);
        return ledger.broken.isEmpty() ? 0 : 1;
    }

    /** Removes a folder and what lies in it. */
    static void delete(Path directory) throws IOException {
        List<Path> paths;
        try (Stream<Path> walk = Files.walk(directory)) {
            paths = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : paths) {
            Files.deleteIfExists(path);
        }
    }
}
