import java.util.ArrayList;
import java.util.List;

/**
 * The zone of the leader loses power: its machines come back after 1.5 s, and its workers as new ones. Checks by the
 * rule LOST when the tasks that last run again which ran there. Most of the service is free.
 */
final class ZoneLoss {
    private static final int ZONES = 3;
    private static final int WORKERS = 12;
    private static final int TASKS = 6;
    private static final int BACK_MILLIS = 1_500;

    private static final String JOB = "5c0e7a21d94b36f8";

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, ZoneLoss::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("pufi791", "lohu930"), 3);
        cluster.addWorkers(WORKERS, "a");
        cluster.start();
        Thread.sleep(4_000);
        synchronized (cluster.tasks) {
            cluster.tasks.plans.put(JOB, new Tasks.Plan(TASKS, false, 0, -1, 0, true));
        }
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":6,\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                + "\"long_running\":true,\"anti_affinity\":1}]}";
        if (cluster.call(0, "POST", "/lohu930/" + JOB, body).status() != 200) {
            return Case.COULD_NOT_RUN;
        }
        Thread.sleep(3_000);
        if (cluster.tasks.startsOfJob(JOB).size() != TASKS) {
            return Case.COULD_NOT_RUN;
        }
        if (trouble) {
            loseZone(journal, cluster, cluster.leader() % ZONES);
        }
        Thread.sleep(18_000);
        return Case.judgeLasting(journal, cluster, cluster.tasks.ends);
    }

    private static void loseZone(Journal journal, Cluster cluster, int zone) throws Exception {
        journal.line("zone %s loses power, with the leader", Cluster.ZONES.get(zone));
        List<Integer> lost = new ArrayList<>();
        for (int node = zone; node < cluster.nodeCount(); node += ZONES) {
            cluster.kill(node);
            lost.add(node);
        }
        int count = 0;
        for (int worker = zone; worker < WORKERS; worker += ZONES) {
            cluster.workers.get(worker).losePower();
            count++;
        }
        Thread.sleep(BACK_MILLIS);
        for (int node : lost) {
            cluster.startAgain(node);
        }
        cluster.addWorkers(count, "a", zone);
        journal.line("the zone is back, its workers are new ones");
    }
}
