import java.nio.file.Path;
import java.util.List;

/**
 * A task that lasts fails once by itself. Its worker is the only one with room, and has room for it several times over;
 * most of the service is in use. Checks by the rule LOST when the task runs again.
 */
final class LastingTask {
    private static final int WORKERS = 12;
    private static final int FAIL_AFTER_MILLIS = 3_000;

    /** From 6 s after the last run of the task, nothing may run for 3 s. */
    private static final double BOUND_SECONDS = 6 + 3;

    private static final String FILLERS = "1b2c3d4e5f607182";
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String TASK = JOB + ".0.0.0";

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
        cluster.addWorkers(WORKERS, "a");
        cluster.start();
        Thread.sleep(4_000);
        synchronized (cluster.tasks) {
            cluster.tasks.plans.put(FILLERS, new Tasks.Plan(WORKERS - 1, false, 0, -1, 0, true));
            cluster.tasks.plans.put(
                    JOB, new Tasks.Plan(1, false, FAIL_AFTER_MILLIS, trouble ? 0 : -1, 1, true));
        }
        String fillers = "{\"spec\":\"sheet\",\"steps\":[{\"count\":11,\"cpu\":32000,\"mem_mb\":60000,\"gpu\":8,"
                + "\"long_running\":true}]}";
        String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                + "\"long_running\":true}]}";
        if (cluster.call(0, "POST", "/lohu930/" + FILLERS, fillers).status() != 200) {
            return 2;
        }
        Thread.sleep(2_000);
        if (cluster.call(0, "POST", "/lohu930/" + JOB, body).status() != 200) {
            return 2;
        }
        Thread.sleep(FAIL_AFTER_MILLIS + 16_000);
        if (cluster.tasks.startsOf(TASK).isEmpty()) {
            return 2;
        }
        return judge(journal, cluster);
    }

    /** LOST: from 6 s after its last run, a task that lasts has nothing running for 3 s, though there is room. */
    private static int judge(Journal journal, Cluster cluster) {
        int broken = 0;
        for (Tasks.End end : cluster.tasks.endsOf(TASK)) {
            double next = cluster.tasks.startsOf(TASK).stream()
                    .mapToDouble(Tasks.Start::seconds)
                    .filter(seconds -> seconds > end.seconds)
                    .min()
                    .orElse(journal.seconds());
            journal.line("judged: %s run %d ended %s at %.3f on worker %s, nothing ran for %.3f s", TASK, end.run,
                    end.how, end.seconds, end.worker, next - end.seconds);
            broken |= next - end.seconds > BOUND_SECONDS ? 1 : 0;
        }
        for (Worker worker : cluster.workers) {
            journal.line("judged: worker %s has %d runs at the end", worker.id, worker.runCount());
        }
        journal.line("judged: LOST is %s", broken == 1 ? "broken" : "kept");
        return broken;
    }
}
