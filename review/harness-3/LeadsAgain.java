import java.util.List;

/**
 * The leader is killed and starts again; another node leads. Later the store is partly down, so that this node cannot
 * read, resigns, and leads again once the store is back. Meanwhile a worker is cut off and runs on. Checks by the rule
 * TWICE whether its task is started elsewhere while it still runs.
 */
final class LeadsAgain {
    private static final int NODES = 2;
    private static final int WORKERS = 6;
    private static final int ATTEMPTS = 7;
    private static final int RESTART_MILLIS = 1_000;
    private static final int CUT_AFTER_MILLIS = 5_700;
    private static final int CUT_MILLIS = 2_500;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String TASK = JOB + ".0.0.0";

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, NODES, LeadsAgain::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("pufi791", "lohu930"), 3);
        cluster.addWorkers(WORKERS, "a");
        cluster.start();
        Thread.sleep(2_000);
        if (trouble) {
            restart(cluster, cluster.leader());
        }
        Thread.sleep(8_000);
        synchronized (cluster.tasks) {
            cluster.tasks.plans.put(JOB, new Tasks.Plan(1, false, 200_000, -1));
        }
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                + "\"est_ms\":200000}]}";
        if (cluster.call(0, "POST", "/lohu930/" + JOB, body).status() != 200) {
            return Case.COULD_NOT_RUN;
        }
        for (int i = 0; i < 20 && cluster.tasks.startsOf(TASK).isEmpty(); i++) {
            Thread.sleep(500);
        }
        Thread.sleep(2_000);
        if (cluster.tasks.startsOf(TASK).size() != 1) {
            return Case.COULD_NOT_RUN;
        }
        int status = judge(journal, cluster);
        int leader = cluster.leader();
        for (int i = 0; trouble && i < ATTEMPTS && status == Case.HELD; i++) {
            disturb(journal, cluster);
            status = judge(journal, cluster);
            if (cluster.leader() != leader && status == Case.HELD) {
                restart(cluster, leader);
                leader = cluster.leader();
                Thread.sleep(2_000);
            }
        }
        journal.line("judged: TWICE is %s", status == Case.BROKEN ? "broken" : "kept");
        return status;
    }

    private static void restart(Cluster cluster, int node) throws Exception {
        cluster.kill(node);
        Thread.sleep(RESTART_MILLIS);
        cluster.startAgain(node);
    }

    private static void disturb(Journal journal, Cluster cluster) throws Exception {
        List<Tasks.Start> starts = cluster.tasks.startsOf(TASK);
        String id = starts.get(starts.size() - 1).worker();
        Worker worker = cluster.workers.stream().filter(each -> each.id.equals(id)).findFirst().orElseThrow();
        int leader = cluster.leader();
        journal.line("node %d leads; the store is partly down, and refuses to read", leader);
        cluster.store.refusesReads = true;
        Thread.sleep(CUT_AFTER_MILLIS);
        worker.proxy.cut();
        journal.line("worker %s is cut off", id);
        for (int i = 0; i < 200 && !cluster.hasResigned(leader); i++) {
            Thread.sleep(10);
        }
        cluster.store.refusesReads = false;
        journal.line("the store is back");
        Thread.sleep(CUT_MILLIS);
        worker.proxy.heal();
        journal.line("worker %s is no longer cut off; node %d leads", id, cluster.leader());
        Thread.sleep(1_500);
    }

    /** Returns whether two runs of the task were there at the same time. */
    private static int judge(Journal journal, Cluster cluster) {
        int status = Case.HELD;
        List<Tasks.Start> starts = cluster.tasks.startsOf(TASK);
        for (Tasks.Start start : starts) {
            double end = cluster.tasks.endsOf(TASK).stream()
                    .filter(each -> each.run == start.run() && each.worker.equals(start.worker()))
                    .mapToDouble(each -> each.seconds)
                    .findFirst()
                    .orElse(journal.seconds());
            for (Tasks.Start other : starts) {
                if (other.run() != start.run() && other.seconds() > start.seconds() && other.seconds() < end) {
                    journal.line("judged: run %d was on worker %s from %.3f to %.3f, run %d started on %s at %.3f",
                            start.run(), start.worker(), start.seconds(), end, other.run(), other.worker(),
                            other.seconds());
                    status = Case.BROKEN;
                }
            }
        }
        return status;
    }
}
