import java.util.List;

/**
 * A worker crashes while it is idle, and starts again under its id, at the same address and as one of another kind. At
 * that moment a client sends a job whose task requires the former kind. Checks by the rule ROUTE where the task runs.
 */
final class OtherKind {
    private static final int WORKERS = 12;
    private static final int ROUNDS = 9;
    private static final int DOWN_MILLIS = 1_000;
    private static final String[] KINDS = {"a", "b"};

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, OtherKind::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("pufi791", "lohu930"), 3);
        cluster.addWorkers(1, KINDS[0]);
        cluster.addWorkers(WORKERS - 1, "c");
        cluster.start();
        Thread.sleep(5_000);
        int status = Case.HELD;
        String kind = KINDS[0];
        for (int round = 0; round < ROUNDS && status == Case.HELD; round++) {
            String required = kind;
            if (trouble) {
                kind = KINDS[(round + 1) % KINDS.length];
                cluster.workers.get(0).crash();
                journal.line("worker %s: crashes while it is idle", cluster.workers.get(0).id);
                Thread.sleep(DOWN_MILLIS);
                cluster.startAgain(0, kind);
            }
            String id = "5c0e7a21d94b36f" + round;
            String body = "{\"spec\":\"plate\",\"steps\":[{\"count\":1,\"cpu\":2800,\"mem_mb\":7400,\"gpu\":1,"
                    + "\"est_ms\":1000,\"requires\":\"" + required + "\"}]}";
            int node = round % cluster.nodeCount();
            if (cluster.call(node, "POST", "/lohu930/" + id, body).status() != 200) {
                return Case.COULD_NOT_RUN;
            }
            Thread.sleep(3_000);
            for (Tasks.Start start : cluster.tasks.startsOfJob(id)) {
                journal.line("judged: %s requires %s and was started on worker %s of kind %s", start.task(), required,
                        start.worker(), start.kind());
                status = start.kind().equals(required) ? status : Case.BROKEN;
            }
            cluster.call(node, "DELETE", "/lohu930/" + id, "");
            Thread.sleep(3_000);
        }
        journal.line("judged: ROUTE is %s", status == Case.BROKEN ? "broken" : "kept");
        return status;
    }
}
