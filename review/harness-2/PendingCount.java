import java.util.List;

/**
 * The only worker that a job may use answers its starts with 503 for some seconds. Meanwhile the job has begun nowhere.
 * Checks what the nodes give as pending, by the rule MIXED.
 */
final class PendingCount {
    private static final int WORKERS = 12;
    private static final int GREY_MILLIS = 6_500;

    /** The bound visible_ms and the two seconds that the rule adds. */
    private static final double BOUND_SECONDS = 3 + 2;

    private static final String JOB = "5c0e7a21d94b36f8";

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, PendingCount::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("lohu930"), 3);
        cluster.addWorkers(WORKERS - 1, "a");
        cluster.addWorkers(1, "b");
        cluster.start();
        Thread.sleep(4_000);
        Worker only = cluster.workers.get(WORKERS - 1);
        only.refusesStarts = trouble;
        double grey = journal.seconds();
        if (trouble) {
            journal.line("worker %s answers starts with 503 from now on", only.id);
        }
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":13000,\"mem_mb\":26000,\"gpu\":1,"
                + "\"est_ms\":2000,\"requires\":\"b\"}]}";
        if (cluster.call(0, "POST", "/lohu930/" + JOB, body).status() != 200) {
            return Case.COULD_NOT_RUN;
        }
        double accepted = journal.seconds();
        int broken = 0;
        while (journal.seconds() < accepted + 12) {
            if (journal.seconds() > grey + GREY_MILLIS / 1_000.0 && only.refusesStarts) {
                only.refusesStarts = false;
                journal.line("worker %s takes starts again", only.id);
            }
            for (int node = 0; node < cluster.nodeCount(); node++) {
                double sent = journal.seconds();
                Http.Reply reply = cluster.call(node, "GET", "/lohu930/", "");
                boolean begun = !cluster.tasks.startsOfJob(JOB).isEmpty();
                if (reply.status() == 200 && !begun && sent > accepted + BOUND_SECONDS) {
                    long pending = (Long) Json.object(reply.body()).get("pending");
                    journal.line("judged: node %d gives %d as pending, 1 accepted %.3f s ago has not begun", node,
                            pending, sent - accepted);
                    broken |= 2 * pending < 1 ? 1 : 0;
                }
            }
            Thread.sleep(250);
        }
        journal.line("judged: MIXED is %s", broken == 1 ? "broken" : "kept");
        return broken;
    }
}
