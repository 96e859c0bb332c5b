import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Two of six nodes are stopped and started again, and get SIGHUP in each start of theirs, as the settings file has
 * changed. A process that ends is started again after a short delay.
 */
final class EarlyHangup implements Case.Scenario {
    private static final int NODES = 2;
    private static final int HANGUPS = 5;

    /** Time from the start of a process to its SIGHUP. */
    private static final long AFTER_START_MILLIS = 100;

    private static final long RESTART_DELAY_MILLIS = 500;

    @Override
    public Cluster create(Path repository, Ledger ledger) throws Exception {
        return new Cluster(repository, ledger, 6, 6);
    }

    @Override
    public void play(Cluster cluster, boolean trouble) throws Exception {
        int ends = 0;
        for (Cluster.Node node : cluster.nodes.subList(0, NODES)) {
            node.signal("TERM");
            if (!node.process.waitFor(6, TimeUnit.SECONDS)) {
                throw new Case.CannotRun(node.name + " does not end in its grace period");
            }
            int ownEnds = 0;
            for (int i = 0; i < HANGUPS; i++) {
                if (!node.isAlive()) {
                    node.start();
                    Cluster.sleep(AFTER_START_MILLIS);
                    if (trouble) {
                        node.writeSettings();
                        node.signal("HUP");
                    }
                } else if (trouble) {
                    node.signal("HUP");
                }
                Cluster.sleep(RESTART_DELAY_MILLIS);
                if (!node.isAlive()) {
                    ownEnds++;
                    cluster.ledger.log("node    %s ended by itself, code %s", node.name, node.process.exitValue());
                }
            }
            ends += ownEnds >= 3 ? 1 : 0;
            if (!node.isAlive()) {
                node.start();
            }
        }
        if (ends >= NODES) {
            cluster.ledger.breakRule("FAULT", "the processes of %s of 6 machines ended three times or more", ends);
        }
        if (!cluster.awaitReady(15_000)) {
            cluster.ledger.breakRule("FAULT", "a node does not come back");
        }
    }
}
