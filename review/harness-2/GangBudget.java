import java.util.List;

/**
 * A gang of two always fails by its first task. During its first run, the worker of that task is cut off from the nodes
 * for some seconds, less than a lease, so the end of the other member is reported first. Checks the rule BUDGET.
 */
final class GangBudget {
    private static final int ATTEMPTS = 3;
    private static final int WORKERS = 12;
    private static final int WORK_MILLIS = 1_500;
    private static final long CUT_MILLIS = 4_000;
    private static final String JOB = "5c0e7a21d94b36f8";

    /** Keeps a task on each worker, so that the nodes ask all of them for reports. */
    private static final String LONG_JOB = "1b2c3d4e5f607182";

    private static final String FAILING = JOB + ".0.0.0";

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, GangBudget::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("lohu930", "pufi791"), ATTEMPTS);
        cluster.addWorkers(WORKERS, "a");
        cluster.start();
        Thread.sleep(4_000);
        synchronized (cluster.tasks) {
            cluster.tasks.plans.put(LONG_JOB, new Tasks.Plan(WORKERS, false, 40_000, -1));
            cluster.tasks.plans.put(JOB, new Tasks.Plan(2, true, WORK_MILLIS, 0));
        }
        String longBody = "{\"spec\":\"sheet\",\"steps\":[{\"count\":12,\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                + "\"est_ms\":40000,\"anti_affinity\":1}]}";
        if (cluster.call(0, "POST", "/pufi791/" + LONG_JOB, longBody).status() != 200) {
            return Case.COULD_NOT_RUN;
        }
        Thread.sleep(1_000);
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":2,\"cpu\":13000,\"mem_mb\":26000,\"gpu\":4,"
                + "\"est_ms\":1500,\"gang\":true}]}";
        if (cluster.call(0, "POST", "/lohu930/" + JOB, body).status() != 200) {
            return Case.COULD_NOT_RUN;
        }
        if (!awaitStarts(cluster, 1)) {
            return Case.COULD_NOT_RUN;
        }
        if (trouble) {
            Thread.sleep(300);
            String id = cluster.tasks.startsOf(FAILING).get(0).worker();
            Worker cut = cluster.workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElseThrow();
            cut.proxy.cut();
            journal.line("worker %s is cut off from the nodes", id);
            Thread.sleep(CUT_MILLIS);
            cut.proxy.heal();
            journal.line("worker %s is reached again", id);
        }
        for (int i = 0; i < 40; i++) {
            Thread.sleep(500);
            Http.Reply state = cluster.call(i % cluster.nodeCount(), "GET", "/lohu930/" + JOB, "");
            if (state.body().contains("failed") && i > 10) {
                break;
            }
        }
        Thread.sleep(1_000);
        return judge(journal, cluster);
    }

    private static boolean awaitStarts(Cluster cluster, int count) throws Exception {
        for (int i = 0; i < 200; i++) {
            if (cluster.tasks.startsOf(FAILING).size() >= count
                    && cluster.tasks.startsOfJob(JOB).size() >= 2 * count) {
                return true;
            }
            Thread.sleep(25);
        }
        return false;
    }

    /** BUDGET: a start after {@code attempts} runs of the task have ended failed, if these ends are taken note of. */
    private static int judge(Journal journal, Cluster cluster) {
        int broken = 0;
        for (Tasks.Start start : cluster.tasks.startsOf(FAILING)) {
            long failed = cluster.tasks.endsOf(FAILING).stream()
                    .filter(end -> end.how.equals("failed") && end.seconds < start.seconds())
                    .filter(end -> end.notedSeconds >= 0 && !end.lapsedSince)
                    .count();
            journal.line("judged: %s run %d started at %.3f after %d failed runs that were taken note of",
                    FAILING, start.run(), start.seconds(), failed);
            if (failed >= ATTEMPTS) {
                broken = 1;
            }
        }
        journal.line("judged: BUDGET is %s", broken == 1 ? "broken" : "kept");
        return broken;
    }
}
