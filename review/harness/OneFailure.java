import java.nio.file.Path;
import java.util.List;

/**
 * A job requires the label of a rack. Seven of the eight workers of the rack are full with tasks that last, the eighth
 * is idle and runs the job; its first run fails.
 */
final class OneFailure implements Case.Scenario {
    private static final String RACK = "r-0";

    /** The bound {@code finish_s} of the site. */
    private static final long FINISH_MILLIS = 14_000;

    @Override
    public Cluster create(Path repository, Ledger ledger) throws Exception {
        Cluster cluster = new Cluster(repository, ledger, 6, 33);
        cluster.workers.forEach(worker -> worker.failShare = 0);
        return cluster;
    }

    @Override
    public void play(Cluster cluster, boolean trouble) throws Exception {
        Ledger.Step whole = new Ledger.Step(
                Cluster.WORKERS_PER_RACK - 1, 32_000, 1_000, 0, 1_000, List.of(), false, false, 0);
        Ledger.Job lasting = new Ledger.Job("00000000000000a0", "batch", "lasting", 3, List.of(whole));
        lasting.lasting = true;
        lasting.requires = RACK;
        submit(cluster, lasting);
        Cluster.sleep(2_000);
        Ledger.Step step = new Ledger.Step(1, 2_000, 1_000, 0, 3_000, List.of(), false, false, 0);
        Ledger.Job job = new Ledger.Job("00000000000000b0", "proof", "fails once", 3, List.of(step));
        job.requires = RACK;
        job.failsOnce = trouble;
        submit(cluster, job);
        cluster.ledger.log("traffic ends");
        Cluster.sleep(FINISH_MILLIS);
        Starvation.observe(cluster);
    }

    private static void submit(Cluster cluster, Ledger.Job job) throws Case.CannotRun {
        if (!cluster.submit(job, 5)) {
            throw new Case.CannotRun("a job is not accepted");
        }
    }
}
