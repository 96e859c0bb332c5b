import java.nio.file.Path;
import java.util.Collection;

/** One case: a deployment of six nodes, what happens to it, and the judgement. */
interface Case {
    /** Exit status of a case in which the rule held. */
    int HELD = 0;

    int BROKEN = 1;
    int COULD_NOT_RUN = 2;

    /** Number of nodes, unless a case has its own. */
    int NODES = 6;

    /** The rule LOST for a task that lasts: from 6 s after its last run, nothing may run for 3 s. */
    double LASTING_BOUND_SECONDS = 6 + 3;

    /**
     * Plays the case and returns the exit status.
     *
     * @param trouble whether to bring about the disruption
     */
    int play(Journal journal, Cluster cluster, boolean trouble) throws Exception;

    /** Plays {@code played}, writes its record to the file named by the first argument, and ends the process. */
    static void main(String[] arguments, Case played) throws Exception {
        main(arguments, NODES, played);
    }

    /** Does the same with a deployment of {@code nodes} nodes. */
    static void main(String[] arguments, int nodes, Case played) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = COULD_NOT_RUN;
        try (Journal journal = new Journal(Path.of(arguments[0]));
                Cluster cluster = new Cluster(journal, nodes)) {
            status = played.play(journal, cluster, trouble);
            journal.line("exit %d", status);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Judges by the rule LOST how long nothing ran after each of {@code ends}, which are those of lasting tasks. */
    static int judgeLasting(Journal journal, Cluster cluster, Collection<Tasks.End> ends) {
        int status = HELD;
        for (Tasks.End end : ends) {
            double next = cluster.tasks.startsOf(end.task).stream()
                    .mapToDouble(Tasks.Start::seconds)
                    .filter(seconds -> seconds > end.seconds)
                    .min()
                    .orElse(journal.seconds());
            journal.line("judged: %s run %d ended %s at %.3f on worker %s, nothing ran for %.3f s", end.task, end.run,
                    end.how, end.seconds, end.worker, next - end.seconds);
            if (next - end.seconds > LASTING_BOUND_SECONDS) {
                status = BROKEN;
            }
        }
        journal.line("judged: LOST is %s", status == BROKEN ? "broken" : "kept");
        return status;
    }
}
