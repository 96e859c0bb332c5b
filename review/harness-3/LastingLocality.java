import java.util.ArrayList;
import java.util.List;

/**
 * Each rack has four workers, of which other work fills three. The worker of a lasting task leaves, and so does one of
 * the two workers of a gang that lasts. Both have preferences: the task for the rack of its data, the gang for one
 * rack. Workers on other racks are free. Checks by the rule LOST when they run again.
 */
final class LastingLocality {
    private static final int RACKS = 8;
    private static final int RACK_SIZE = 4;
    private static final String SINGLE = "5c0e7a21d94b36f8";
    private static final String GANG = "5c0e7a21d94b36f9";
    private static final int DRAIN_MILLIS = 3_000;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, LastingLocality::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("pufi791", "lohu930"), 3);
        cluster.addWorkers(RACKS * RACK_SIZE, "a");
        cluster.start();
        Thread.sleep(4_000);
        submit(cluster, SINGLE, 1, "\"affinity\":\"r1-0\",\"est_ms\":3600000");
        cluster.awaitStarts(1);
        fill(cluster, 0, RACK_SIZE - 1);
        cluster.awaitStarts(RACK_SIZE);
        submit(cluster, GANG, 2, "\"gang\":true,\"tightly_coupled\":true");
        cluster.awaitStarts(RACK_SIZE + 2);
        String gangRack = rackOf(cluster, GANG + ".0.0.0");
        journal.line("the gang runs on rack %s", gangRack);
        if (!"r1-0".equals(rackOf(cluster, SINGLE + ".0.0.0")) || !gangRack.equals(rackOf(cluster, GANG + ".0.0.1"))) {
            return Case.COULD_NOT_RUN;
        }
        for (int rack = 1; rack < RACKS; rack++) {
            fill(cluster, rack, gangRack.equals("r1-" + rack) ? RACK_SIZE - 2 : RACK_SIZE - 1);
        }
        cluster.awaitStarts(2 + RACKS * (RACK_SIZE - 1));
        Thread.sleep(1_000);
        int running = cluster.workers.stream().mapToInt(Worker::runCount).sum();
        journal.line("%d of %d workers are in use", running, cluster.workers.size());
        if (running != 2 + RACKS * (RACK_SIZE - 1)) {
            return Case.COULD_NOT_RUN;
        }
        if (trouble) {
            workerOf(cluster, SINGLE + ".0.0.0").leave(DRAIN_MILLIS);
            workerOf(cluster, GANG + ".0.0.0").leave(DRAIN_MILLIS);
        } else {
            Thread.sleep(2 * DRAIN_MILLIS);
        }
        Thread.sleep(24_000);
        List<Tasks.End> ends = new ArrayList<>(cluster.tasks.endsOf(SINGLE + ".0.0.0"));
        ends.addAll(cluster.tasks.endsOf(GANG + ".0.0.0"));
        ends.addAll(cluster.tasks.endsOf(GANG + ".0.0.1"));
        long free = cluster.workers.stream().filter(worker -> !worker.hasLeft() && worker.runCount() == 0).count();
        journal.line("judged: %d workers are free now", free);
        return Case.judgeLasting(journal, cluster, ends);
    }

    /** Runs {@code count} lasting tasks on a rack, each of which takes a whole worker. */
    private static void fill(Cluster cluster, int rack, int count) {
        submit(cluster, "00000000000000a" + rack, count, "\"requires\":\"r1-" + rack + "\"");
    }

    private static void submit(Cluster cluster, String id, int count, String more) {
        synchronized (cluster.tasks) {
            boolean gang = more.contains("\"gang\"");
            cluster.tasks.plans.put(id, new Tasks.Plan(count, gang, 0, -1, 0, true));
            cluster.tasks.accelerators.put(id, Worker.GPU);
        }
        cluster.call(0, "POST", "/lohu930/" + id, "{\"spec\":\"plate\",\"steps\":[{\"count\":" + count
                + ",\"cpu\":13000,\"mem_mb\":26000,\"gpu\":8,\"long_running\":true," + more + "}]}");
    }

    private static Worker workerOf(Cluster cluster, String task) {
        List<Tasks.Start> starts = cluster.tasks.startsOf(task);
        String id = starts.isEmpty() ? "" : starts.get(starts.size() - 1).worker();
        return cluster.workers.stream().filter(worker -> worker.id.equals(id)).findFirst().orElse(null);
    }

    private static String rackOf(Cluster cluster, String task) {
        Worker worker = workerOf(cluster, task);
        return worker == null ? "" : worker.rack();
    }
}
