import java.util.ArrayList;
import java.util.List;

/** Observes the end of rule LOST: a job has nothing running for 3 s although most of the capacity is idle. */
final class Starvation {
    private static final long OBSERVED_MILLIS = 3_000;

    private Starvation() {}

    /** Watches the accepted jobs that have not ended, each of which has a task whose turn has come and room for it. */
    static void observe(Cluster cluster) {
        List<Ledger.Job> starved = new ArrayList<>(cluster.ledger.jobs());
        starved.removeIf(job -> job.acceptedNanos == 0);
        long end = System.nanoTime() + OBSERVED_MILLIS * 1_000_000;
        double used = 0;
        while (System.nanoTime() < end) {
            used = Math.max(used, cluster.workers.stream().mapToDouble(Worker::usage).average().orElse(1));
            starved.removeIf(job -> job.allDone() || cluster.ledger.isRunning(job));
            Cluster.sleep(20);
        }
        cluster.ledger.log("observed for %s ms: at most %.2f of the capacity in use", OBSERVED_MILLIS, used);
        for (Ledger.Job job : starved) {
            String state = cluster.check(job);
            if (used < 0.5) {
                cluster.ledger.breakRule(
                        "LOST", "%s (%s, shown as %s) has nothing running for 3 s, %.2f of the capacity in use",
                        job.id, job.spec, state, used);
            }
        }
    }
}
