import java.util.ArrayList;
import java.util.List;

/**
 * Five jobs with one task each that lasts need a label that one worker has. Each task fails once, one shortly after the
 * other. The worker has room for each of them twice over, and most of the service is free. Checks by the rule LOST when
 * they run again.
 */
final class FailingServices {
    private static final int WORKERS = 12;
    private static final int JOBS = 5;
    private static final int FIRST_FAILURE_MILLIS = 3_000;
    private static final int GAP_MILLIS = 400;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, FailingServices::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("pufi791", "lohu930"), 3);
        cluster.addWorkers(WORKERS - 1, "a");
        cluster.addWorkers(1, "b");
        cluster.start();
        Thread.sleep(4_000);
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                + "\"long_running\":true,\"requires\":\"b\"}]}";
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("5c0e7a21d94b36f%d", i);
            ids.add(id);
            synchronized (cluster.tasks) {
                cluster.tasks.plans.put(id, new Tasks.Plan(
                        1, false, FIRST_FAILURE_MILLIS + i * GAP_MILLIS, trouble ? 0 : -1, 1, true));
            }
            if (cluster.call(0, "POST", "/lohu930/" + id, body).status() != 200) {
                return Case.COULD_NOT_RUN;
            }
        }
        Thread.sleep(FIRST_FAILURE_MILLIS + JOBS * GAP_MILLIS + 20_000);
        List<Tasks.End> ends = new ArrayList<>();
        for (String id : ids) {
            if (cluster.tasks.startsOfJob(id).isEmpty()) {
                return Case.COULD_NOT_RUN;
            }
            ends.addAll(cluster.tasks.endsOf(id + ".0.0.0"));
        }
        return Case.judgeLasting(journal, cluster, ends);
    }
}
