import java.nio.file.Path;
import java.util.List;

/**
 * A job of two steps of 10,000 tasks each, the widest that a node accepts, runs beside small jobs. One of six nodes, the
 * leader, is killed while the second step runs, and started again.
 */
final class LargeJob implements Case.Scenario {
    private static final int WIDTH = 10_000;

    /** How much of the large job is done when the leader is killed. */
    private static final double DONE_STEPS = 1.8;

    /** The bound {@code finish_s} of the site. */
    private static final long FINISH_MILLIS = 14_000;

    private static final long DOWN_MILLIS = 3_500;

    @Override
    public Cluster create(Path repository, Ledger ledger) throws Exception {
        Cluster cluster = new Cluster(repository, ledger, 6, 33);
        cluster.workers.forEach(worker -> worker.failShare = 0);
        return cluster;
    }

    @Override
    public void play(Cluster cluster, boolean trouble) throws Exception {
        Ledger.Step wide = new Ledger.Step(WIDTH, 1_000, 1_000, 0, 200, List.of(), false, false, 0);
        Ledger.Step next = new Ledger.Step(WIDTH, 1_000, 1_000, 0, 200, List.of(0), false, false, 0);
        Ledger.Job large = new Ledger.Job("00000000000000a0", "batch", "large", 3, List.of(wide, next));
        if (!cluster.submit(large, 5)) {
            throw new Case.CannotRun("the large job is not accepted");
        }
        long deadline = System.nanoTime() + 65_000_000_000L;
        while (large.done.size() < DONE_STEPS * WIDTH) {
            Cluster.sleep(50);
            if (System.nanoTime() > deadline) {
                throw new Case.CannotRun("only " + large.done.size() + " tasks done in time");
            }
        }
        Cluster.Node leader = cluster.leader();
        if (trouble) {
            leader.kill();
        }
        for (int i = 0; i < 10; i++) {
            Ledger.Step small = new Ledger.Step(2, 1_000, 1_000, 0, 300, List.of(), false, false, 0);
            cluster.submit(new Ledger.Job("00000000000000b" + i, "preview", "small", 3, List.of(small)), 5);
            Cluster.sleep(200);
        }
        Cluster.sleep(DOWN_MILLIS - 2_000);
        if (trouble) {
            leader.start();
        }
        cluster.ledger.log("traffic ends");
        Cluster.sleep(FINISH_MILLIS);
        Starvation.observe(cluster);
    }
}
