import java.nio.file.Path;
import java.util.List;

/**
 * A client submits a job to a node that stands still, gets no answer by its deadline, and cancels the job at another
 * node. Checks by the rule UNASKED whether a task of the job runs on afterwards.
 */
final class FrozenSubmission {
    private static final int FROZEN = 4;
    private static final int FREEZE_MILLIS = 3_200;
    private static final int DEADLINE_MILLIS = 3_000;

    /** The bounds cancel_ms and stop_ms. */
    private static final double CANCEL_SECONDS = 3 + 0.2;

    /** The bound contact_ms. */
    private static final double CONTACT_SECONDS = 3;

    private static final String JOB = "5c0e7a21d94b36f8";

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Journal journal = new Journal(Path.of(arguments[0]));
                Cluster cluster = new Cluster(journal, 6, false)) {
            result = run(journal, cluster, trouble);
            journal.line("exit %d", result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("lohu930"), 3);
        cluster.addWorkers(12, "a");
        cluster.start();
        Thread.sleep(4_000);
        synchronized (cluster.tasks) {
            cluster.tasks.plans.put(JOB, new Tasks.Plan(1, false, 11_000, -1));
        }
        int frozen = cluster.leader() == FROZEN ? FROZEN - 1 : FROZEN;
        double thawed = journal.seconds();
        if (trouble) {
            cluster.signal(frozen, "STOP");
            thawed = journal.seconds() + FREEZE_MILLIS / 1_000.0;
        }
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":13000,\"mem_mb\":26000,\"gpu\":1,"
                + "\"est_ms\":11000}]}";
        Http.Reply submitted = Http.call(
                cluster.front(frozen), "POST", "/lohu930/" + JOB, Cluster.HOST,
                "Api-Key: " + Cluster.KEY + "\r\nAcaciaport-Deadline-Ms: " + DEADLINE_MILLIS + "\r\n", body,
                DEADLINE_MILLIS);
        journal.line("client: POST /lohu930/%s at node %d: %s", JOB, frozen,
                submitted.status() == 0 ? "no answer by the deadline" : "answered " + submitted.status());
        int other = (frozen + 1) % cluster.nodeCount();
        Http.Reply cancelled = cluster.call(other, "DELETE", "/lohu930/" + JOB, "");
        if (cancelled.status() != 410 && cancelled.status() / 100 != 2) {
            return 2;
        }
        double acknowledged = journal.seconds();
        if (trouble) {
            Thread.sleep(Math.max(0, (long) ((thawed - journal.seconds()) * 1_000)));
            cluster.signal(frozen, "CONT");
            thawed = journal.seconds();
        }
        double bound = Math.max(acknowledged + CANCEL_SECONDS, thawed + CONTACT_SECONDS);
        int broken = 0;
        while (journal.seconds() < bound + 4) {
            Thread.sleep(500);
            int running = cluster.workers.stream().mapToInt(Worker::runCount).sum();
            cluster.call(other, "GET", "/lohu930/" + JOB, "");
            if (journal.seconds() > bound && running > 0) {
                journal.line("judged: %d runs %.3f s after the cancelling was acknowledged, %.3f s after the freeze",
                        running, journal.seconds() - acknowledged, journal.seconds() - thawed);
                broken = 1;
            }
        }
        journal.line("judged: UNASKED is %s", broken == 1 ? "broken" : "kept");
        return broken;
    }
}
