import java.util.List;

/**
 * A gang waits for 16 whole workers, on each of which long work uses five of eight accelerators. The worker of a
 * lasting task leaves. The task needs three accelerators, and three are free on each of the 16. Checks by the rule LOST
 * when it runs again.
 */
final class LastingBehindGang {
    private static final int WORKERS = 17;
    private static final int DRAIN_MILLIS = 3_000;
    private static final int WORK_MILLIS = 100_000;
    private static final String LONG = "00000000000000a0";
    private static final String GANG = "00000000000000a1";
    private static final String OTHER = "00000000000000a2";
    private static final String LASTING = "5c0e7a21d94b36f8";

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, LastingBehindGang::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("pufi791", "lohu930", "kaje155"), 3);
        cluster.addWorkers(WORKERS - 1, "a");
        cluster.addWorkers(1, "b");
        cluster.start();
        Thread.sleep(4_000);
        String spread = "\"requires\":\"a\",\"anti_affinity\":1,\"est_ms\":" + WORK_MILLIS;
        submit(cluster, "lohu930", LONG, WORKERS - 1, 5, spread);
        submit(cluster, "lohu930", OTHER, 1, 5, "\"long_running\":true,\"requires\":\"b\"");
        cluster.awaitStarts(WORKERS);
        submit(cluster, "kaje155", LASTING, 1, 3, "\"long_running\":true,\"affinity\":\"r1-4\"");
        cluster.awaitStarts(WORKERS + 1);
        Thread.sleep(1_000);
        Worker worker = workerOf(cluster, LASTING);
        if (worker == null || cluster.tasks.startCount() != WORKERS + 1) {
            return Case.COULD_NOT_RUN;
        }
        submit(cluster, "lohu930", GANG, WORKERS - 1, 8, "\"gang\":true,\"est_ms\":5000");
        Thread.sleep(6_000);
        if (trouble) {
            worker.leave(DRAIN_MILLIS);
        } else {
            Thread.sleep(DRAIN_MILLIS);
        }
        Thread.sleep(25_000);
        for (Worker each : cluster.workers) {
            journal.line("judged: worker %s has %d free accelerators%s", each.id, each.freeAccelerators(),
                    each.hasLeft() ? ", but has left" : "");
        }
        return Case.judgeLasting(journal, cluster, cluster.tasks.endsOf(LASTING + ".0.0.0"));
    }

    private static void submit(Cluster cluster, String queue, String id, int count, int accelerators, String more) {
        synchronized (cluster.tasks) {
            boolean lasting = more.contains("\"long_running\"");
            boolean gang = more.contains("\"gang\"");
            cluster.tasks.plans.put(id, new Tasks.Plan(count, gang, lasting ? 0 : WORK_MILLIS, -1, 0, lasting));
            cluster.tasks.accelerators.put(id, accelerators);
        }
        cluster.call(0, "POST", "/" + queue + "/" + id, "{\"spec\":\"plate\",\"steps\":[{\"count\":" + count
                + ",\"cpu\":2800,\"mem_mb\":7400,\"gpu\":" + accelerators + "," + more + "}]}");
    }

    private static Worker workerOf(Cluster cluster, String job) {
        List<Tasks.Start> starts = cluster.tasks.startsOfJob(job);
        String id = starts.isEmpty() ? "" : starts.get(starts.size() - 1).worker();
        return cluster.workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElse(null);
    }
}
