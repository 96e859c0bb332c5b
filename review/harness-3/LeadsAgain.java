import java.util.List;

/**
 * The leader is killed and starts again; another node leads. Later the store is partly down, so that this node cannot
 * read, resigns, and leads again once the store is back. Checks by the rule TWICE whether a task that runs is started
 * elsewhere.
 */
final class LeadsAgain {
    private static final int NODES = 2;
    private static final int WORKERS = 6;
    private static final int ATTEMPTS = 7;
    private static final int RESTART_MILLIS = 1_000;

    /** Longest outage, in ticks of 10 ms. */
    private static final int OUTAGE_TICKS = 800;

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int TASKS = 5;

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
            cluster.tasks.plans.put(JOB, new Tasks.Plan(TASKS, false, 200_000, -1));
        }
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":" + TASKS + ",\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                + "\"est_ms\":200000,\"anti_affinity\":1}]}";
        if (cluster.call(0, "POST", "/lohu930/" + JOB, body).status() != 200) {
            return Case.COULD_NOT_RUN;
        }
        cluster.awaitStarts(TASKS);
        Thread.sleep(2_000);
        if (cluster.tasks.startCount() != TASKS) {
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
        int leader = cluster.leader();
        journal.line("node %d leads; the store is partly down, and refuses to read", leader);
        cluster.store.refusesReads = true;
        for (int i = 0; i < OUTAGE_TICKS && !cluster.hasResigned(leader); i++) {
            Thread.sleep(10);
        }
        cluster.store.refusesReads = false;
        journal.line("the store is back");
        Thread.sleep(3_000);
        journal.line("node %d leads", cluster.leader());
    }

    /** Returns whether two runs of a task were on two workers at the same time. */
    private static int judge(Journal journal, Cluster cluster) {
        int status = Case.HELD;
        for (int task = 0; task < TASKS; task++) {
            status = Math.max(status, judge(journal, cluster, JOB + ".0.0." + task));
        }
        return status;
    }

    private static int judge(Journal journal, Cluster cluster, String task) {
        int status = Case.HELD;
        List<Tasks.Start> starts = cluster.tasks.startsOf(task);
        for (Tasks.Start start : starts) {
            double end = cluster.tasks.endsOf(task).stream()
                    .filter(each -> each.run == start.run() && each.worker.equals(start.worker()))
                    .mapToDouble(each -> each.seconds)
                    .findFirst()
                    .orElse(journal.seconds());
            for (Tasks.Start other : starts) {
                boolean elsewhere = !other.worker().equals(start.worker());
                if (elsewhere && other.seconds() > start.seconds() && other.seconds() < end) {
                    journal.line("judged: %s run %d was on worker %s from %.3f to %.3f, run %d started on %s at %.3f",
                            task, start.run(), start.worker(), start.seconds(), end, other.run(), other.worker(),
                            other.seconds());
                    status = Case.BROKEN;
                }
            }
        }
        return status;
    }
}
