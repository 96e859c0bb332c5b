import java.nio.file.Path;
import java.util.List;

/** All open connections to the store go silent once, while new ones work. Checks the rule CONFIG. */
final class SilentStore {
    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Journal journal = new Journal(Path.of(arguments[0]));
                Cluster cluster = new Cluster(journal, 6, true)) {
            result = run(journal, cluster, trouble);
            journal.line("exit %d", result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        cluster.configure(7, List.of("lohu930"), 3);
        cluster.addWorkers(6, "a");
        cluster.start();
        for (int i = 0; i < 30; i++) {
            String id = String.format("%016x", 0x7100L + i);
            int node = i % 6;
            Thread.ofVirtual().start(() -> cluster.call(node, "POST", "/lohu930/" + id,
                    "{\"spec\":\"a\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":100,\"gpu\":1,\"est_ms\":900}]}"));
            Thread.sleep(100);
        }
        if (trouble) {
            int count = 0;
            for (Proxy proxy : cluster.storeProxies) {
                count += proxy.silence();
            }
            journal.line("%d connections to the store are silent", count);
        }
        double silent = journal.seconds();
        Thread.sleep(300);
        cluster.configure(9, List.of("lohu930", "pufi791"), 3);
        double acknowledged = journal.seconds();
        int broken = 0;
        while (journal.seconds() < silent + 20) {
            for (int node = 0; node < cluster.nodeCount(); node++) {
                double sent = journal.seconds();
                Http.Reply reply = cluster.call(node, "GET", "/pufi791/", "");
                boolean bound = sent > acknowledged + 2.05 && sent > silent + 3.05;
                if (bound && reply.status() == 404) {
                    journal.line("judged: node %d answered 404 %.3f s after the acknowledgement", node,
                            sent - acknowledged);
                    broken = 1;
                }
            }
            Thread.sleep(200);
        }
        return broken;
    }
}
