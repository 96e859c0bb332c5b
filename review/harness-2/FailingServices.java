import java.nio.file.Path;
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

    /** From 6 s after the last run of the task, nothing may run for 3 s. */
    private static final double BOUND_SECONDS = 6 + 3;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Journal journal = new Journal(Path.of(arguments[0]));
                Cluster cluster = new Cluster(journal, 6)) {
            result = run(journal, cluster, trouble);
            journal.line("exit %d", result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Journal journal, Cluster cluster, boolean trouble) throws Exception {
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
                return 2;
            }
        }
        Thread.sleep(FIRST_FAILURE_MILLIS + JOBS * GAP_MILLIS + 20_000);
        return judge(journal, cluster, ids);
    }

    /** LOST: from 6 s after its last run, a task that lasts has nothing running for 3 s, though there is room. */
    private static int judge(Journal journal, Cluster cluster, List<String> ids) {
        int broken = 0;
        for (String id : ids) {
            String task = id + ".0.0.0";
            if (cluster.tasks.startsOf(task).isEmpty()) {
                return 2;
            }
            for (Tasks.End end : cluster.tasks.endsOf(task)) {
                double next = cluster.tasks.startsOf(task).stream()
                        .mapToDouble(Tasks.Start::seconds)
                        .filter(seconds -> seconds > end.seconds)
                        .min()
                        .orElse(journal.seconds());
                journal.line("judged: %s run %d ended %s at %.3f on worker %s, nothing ran for %.3f s", task, end.run,
                        end.how, end.seconds, end.worker, next - end.seconds);
                broken |= next - end.seconds > BOUND_SECONDS ? 1 : 0;
            }
        }
        journal.line("judged: LOST is %s", broken == 1 ? "broken" : "kept");
        return broken;
    }
}
