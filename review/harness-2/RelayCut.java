import java.util.ArrayList;
import java.util.List;

/**
 * The store turns the machines of one zone away, and they go through relays. When it serves them again, the zone of
 * their relays goes silent and the configuration changes. Checks by the rule CONFIG what they answer.
 */
final class RelayCut {
    private static final int ZONES = 3;
    private static final int EPISODES = 7;

    /** The bounds config_apply_ms and contact_ms, and the time that a call may take to be sent. */
    private static final double APPLY_SECONDS = 2;

    private static final double CONTACT_SECONDS = 3;
    private static final double SENDING_SECONDS = 0.05;

    public static void main(String[] arguments) throws Exception {
        Case.main(arguments, RelayCut::play);
    }

    private static int play(Journal journal, Cluster cluster, boolean trouble) throws Exception {
        List<String> queues = new ArrayList<>(List.of("lohu930"));
        cluster.configure(7, queues, 3);
        cluster.addWorkers(12, "a");
        cluster.start();
        Thread.sleep(4_000);
        for (int episode = 0; episode < EPISODES; episode++) {
            int refused = episode % ZONES;
            double start = journal.seconds();
            if (trouble) {
                cluster.store.refused.addAll(List.of(refused, refused + ZONES));
                journal.line("the store answers nodes %d and %d with 429", refused, refused + ZONES);
                sleepUntil(journal, start + 0.3);
                signal(cluster, (refused + 2) % ZONES, "STOP");
                sleepUntil(journal, start + 5.3);
                signal(cluster, (refused + 2) % ZONES, "CONT");
                sleepUntil(journal, start + 6);
                cluster.store.refused.clear();
                journal.line("the store serves all nodes");
            }
            double served = journal.seconds();
            sleepUntil(journal, served + 0.55);
            if (trouble) {
                signal(cluster, (refused + 1) % ZONES, "STOP");
            }
            sleepUntil(journal, served + 0.98);
            String queue = "pufi" + episode;
            queues.add(queue);
            cluster.configure(10 + 3L * episode, queues, 3);
            double acknowledged = journal.seconds();
            double bound = Math.max(acknowledged + APPLY_SECONDS, served + CONTACT_SECONDS) + SENDING_SECONDS;
            boolean broken = false;
            sleepUntil(journal, bound);
            while (journal.seconds() < served + 5.5) {
                for (int node : new int[] {refused, refused + ZONES}) {
                    double sent = journal.seconds();
                    if (cluster.call(node, "GET", "/" + queue + "/", "").status() == 404) {
                        journal.line("judged: node %d answered 404 to a call sent %.3f s after the acknowledgement and"
                                + " %.3f s after its own disruption", node, sent - acknowledged, sent - served);
                        broken = true;
                    }
                }
                Thread.sleep(40);
            }
            if (trouble) {
                signal(cluster, (refused + 1) % ZONES, "CONT");
            }
            if (broken) {
                journal.line("judged: CONFIG is broken");
                return Case.BROKEN;
            }
            Thread.sleep(2_500);
        }
        journal.line("judged: CONFIG is kept");
        return Case.HELD;
    }

    private static void sleepUntil(Journal journal, double seconds) throws Exception {
        Thread.sleep(Math.max(0, (long) ((seconds - journal.seconds()) * 1_000)));
    }

    /** Signals both machines of a zone. */
    private static void signal(Cluster cluster, int zone, String name) throws Exception {
        cluster.signal(zone, name);
        cluster.signal(zone + ZONES, name);
    }
}
