import java.util.List;

/**
 * A job waits in a queue whose service is full. The operator sends the queue to another service, which is idle. Checks
 * by the rule LOST whether the job runs by the time at which jobs are asked for.
 */
final class Rerouted {
    private static final int WORKERS = 6;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int FINISH_MILLIS = 14_000;
    private static final int IDLE_MILLIS = 3_000;
    private static final String FILLING = "00000000000000a0";
    private static final String WAITING = "5c0e7a21d94b36f8";
    private static final String LATER = "5c0e7a21d94b36f9";
    private static final List<String> QUEUES = List.of("pufi791", "lohu930");

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, Rerouted::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, QUEUES, 3);
        cluster.addWorkers(WORKERS, "a", Worker.SERVICE);
        cluster.addWorkers(WORKERS, "a", Worker.OTHER_SERVICE);
        cluster.start();
        Thread.sleep(4_000);
        synchronized (cluster.tasks) {
            cluster.tasks.plans.put(FILLING, new Tasks.Plan(WORKERS, false, 0, -1, 0, true));
            cluster.tasks.accelerators.put(FILLING, Worker.GPU);
        }
        cluster.call(0, "POST", "/pufi791/" + FILLING, "{\"spec\":\"plate\",\"steps\":[{\"count\":" + WORKERS
                + ",\"cpu\":13000,\"mem_mb\":26000,\"gpu\":8,\"long_running\":true}]}");
        cluster.awaitStarts(WORKERS);
        Thread.sleep(1_000);
        if (cluster.tasks.startCount() != WORKERS || !submit(cluster, WAITING)) {
            return Case.COULD_NOT_RUN;
        }
        Thread.sleep(2_000);
        if (trouble) {
            cluster.configure(12, QUEUES, List.of(Worker.SERVICE, Worker.OTHER_SERVICE), 3);
        }
        Thread.sleep(CONFIG_APPLY_MILLIS);
        submit(cluster, LATER);
        Thread.sleep(FINISH_MILLIS + IDLE_MILLIS);
        cluster.call(0, "GET", "/lohu930/" + WAITING, "");
        cluster.call(1, "GET", "/lohu930/" + LATER, "");
        int free = 0;
        for (Worker worker : cluster.workers) {
            boolean serves = worker.service().equals(trouble ? Worker.OTHER_SERVICE : Worker.SERVICE);
            free += serves ? worker.freeAccelerators() : 0;
        }
        int starts = cluster.tasks.startsOfJob(WAITING).size();
        journal.line("judged: the queue's service has %d free accelerators of %d; %s was started %d times, %s %d times",
                free, WORKERS * Worker.GPU, WAITING, starts, LATER, cluster.tasks.startsOfJob(LATER).size());
        int status = starts == 0 && 2 * free > WORKERS * Worker.GPU ? Case.BROKEN : Case.HELD;
        journal.line("judged: LOST is %s", status == Case.BROKEN ? "broken" : "kept");
        return status;
    }

    private static boolean submit(Cluster cluster, String id) {
        return cluster.call(0, "POST", "/lohu930/" + id, "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":2800,"
                + "\"mem_mb\":7400,\"gpu\":1,\"est_ms\":1000}]}").status() == 200;
    }
}
