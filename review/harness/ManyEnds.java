import java.nio.file.Path;
import java.util.List;

/**
 * Over 500 runs end on a worker while it is cut off. Its report lists 500 ends at a time, so the first one after the
 * cut shows the rest neither as running nor as ended.
 */
final class ManyEnds implements Case.Scenario {
    /** The largest length of {@code node_cut} with {@code servers} on the site is 5.5 s. */
    private static final long CUT_MILLIS = 4_000;

    /** Number of workers with a task that runs throughout. */
    private static final int FILLERS = 2;

    private static final int ENDS_PER_ANSWER = 500;

    @Override
    public Cluster create(Path repository, Ledger ledger) throws Exception {
        Worker.cpu = 128_000;
        Worker.memory = 262_144;
        Cluster cluster = new Cluster(repository, ledger, 6, 32);
        cluster.workers.forEach(worker -> worker.failShare = 0);
        return cluster;
    }

    @Override
    public void play(Cluster cluster, boolean trouble) throws Exception {
        // Keeps the workers occupied, so that their leases are renewed all the while.
        Ledger.Step filler = new Ledger.Step(FILLERS, 200, 400, 0, 40_000, List.of(), false, false, 1);
        submit(cluster, new Ledger.Job("00000000000000a1", "batch", "filler", 3, List.of(filler)));
        Cluster.sleep(1_000);
        Ledger.Step step = new Ledger.Step(1_000, 200, 400, 0, 6_000, List.of(), false, false, 0);
        Ledger.Job job = new Ledger.Job("00000000000000a0", "batch", "many small tasks", 3, List.of(step));
        submit(cluster, job);
        long deadline = System.nanoTime() + 40_000_000_000L;
        while (cluster.ledger.dones == 0) {
            Cluster.sleep(5);
            if (System.nanoTime() > deadline) {
                throw new Case.CannotRun("no run ended in time");
            }
        }
        List<Worker> full = cluster.workers.stream()
                .filter(worker -> worker.runningCount() > ENDS_PER_ANSWER)
                .toList();
        if (full.isEmpty()) {
            throw new Case.CannotRun("no worker has over " + ENDS_PER_ANSWER + " runs");
        }
        full.forEach(worker -> cluster.ledger.log("full    %s has %s runs", worker.id, worker.runningCount()));
        if (trouble) {
            cluster.ledger.log("cut     %s of %s workers", full.size(), cluster.workers.size());
            full.forEach(worker -> worker.silent = true);
            Cluster.sleep(CUT_MILLIS);
            full.forEach(worker -> worker.silent = false);
            cluster.ledger.log("healed");
        } else {
            Cluster.sleep(CUT_MILLIS);
        }
        Cluster.sleep(12_000);
        cluster.check(job);
    }

    private static void submit(Cluster cluster, Ledger.Job job) throws Case.CannotRun {
        if (!cluster.submit(job, 5)) {
            throw new Case.CannotRun("a job is not accepted");
        }
    }
}
