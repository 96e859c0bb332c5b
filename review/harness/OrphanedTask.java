import java.nio.file.Path;
import java.util.List;

/**
 * A worker leaves at short notice with a run, and the leader is killed two seconds later. The times are those of
 * day.toml, counted from the end of the traffic.
 */
final class OrphanedTask implements Case.Scenario {
    private static final long NOTICE_MILLIS = 1_940;
    private static final long GONE_MILLIS = 940;
    private static final long KILL_MILLIS = 3_000;
    private static final long DOWN_MILLIS = 3_500;

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
        Ledger.Step step = new Ledger.Step(1, 13_000, 26_000, 4, 11_000, List.of(), false, false, 0);
        Ledger.Job job = new Ledger.Job("00000000000000a0", "proof", "one long task", 3, List.of(step));
        if (!cluster.submit(job, 5)) {
            throw new Case.CannotRun("the job is not accepted");
        }
        Cluster.sleep(2_000);
        Worker worker = cluster.workers.stream()
                .filter(each -> each.runningCount() > 0)
                .findFirst()
                .orElseThrow(() -> new Case.CannotRun("the job does not run"));
        cluster.ledger.log("leaves  %s in %s ms", worker.id, NOTICE_MILLIS);
        worker.drain(NOTICE_MILLIS);
        Cluster.sleep(NOTICE_MILLIS - GONE_MILLIS);
        cluster.ledger.log("traffic ends");
        long end = System.nanoTime();
        sleepUntil(end, GONE_MILLIS);
        worker.leave();
        sleepUntil(end, KILL_MILLIS);
        Cluster.Node leader = cluster.leader();
        if (trouble) {
            leader.kill();
        }
        sleepUntil(end, KILL_MILLIS + DOWN_MILLIS);
        if (trouble) {
            leader.start();
        }
        sleepUntil(end, FINISH_MILLIS);
        Starvation.observe(cluster);
    }

    /** Sleeps until {@code millis} after {@code nanos}. */
    private static void sleepUntil(long nanos, long millis) {
        Cluster.sleep(Math.max(0, millis - (System.nanoTime() - nanos) / 1_000_000));
    }
}
