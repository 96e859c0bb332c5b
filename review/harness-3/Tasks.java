import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the workers know of the tasks: how long each takes and how it ends, which tasks work together, and all starts
 * and ends so far. Shared by all workers; its lock guards their state too.
 */
final class Tasks {
    /** Time after which the other members of a gang end once one has ended. */
    static final int BREAK_MILLIS = 20;

    static final int GANG_MILLIS = 3_000;

    /**
     * How the tasks of a job behave.
     *
     * @param count number of tasks
     * @param gang whether they work only together
     * @param workMillis how long a run takes until it ends
     * @param failing index of the task that fails, or -1
     * @param lastFailingRun highest run of that task that fails
     * @param lasting whether the tasks run until they are stopped, but for the runs that fail
     */
    record Plan(int count, boolean gang, int workMillis, int failing, int lastFailingRun, boolean lasting) {
        Plan(int count, boolean gang, int workMillis, int failing) {
            this(count, gang, workMillis, failing, Integer.MAX_VALUE, false);
        }

        boolean fails(Run run) {
            return run.index() == failing && run.run <= lastFailingRun;
        }
    }

    /** A start that a worker with the label {@code kind} has accepted. */
    record Start(double seconds, String task, int run, String worker, String kind) {}

    /** An end that a worker has listed. */
    static final class End {
        final long number;
        final String task;
        final int run;
        final String how;
        final String worker;
        final double seconds;

        /** Whether the lease of the worker has lapsed since the end. */
        boolean lapsedSince;

        /** When the end was taken note of; negative until then. */
        double notedSeconds = -1;

        End(long number, String task, int run, String how, String worker, double seconds) {
            this.number = number;
            this.task = task;
            this.run = run;
            this.how = how;
            this.worker = worker;
            this.seconds = seconds;
        }
    }

    /** A run of a task on a worker. */
    static final class Run {
        final Worker worker;
        final String task;
        final int run;
        final long startNanos = System.nanoTime();

        /** When the run ends by itself, or when it ends for the cause {@code ending}; 0 while it does not work. */
        long endNanos;

        String ending = "";

        Run(Worker worker, String task, int run) {
            this.worker = worker;
            this.task = task;
            this.run = run;
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        /** Returns job, occurrence and step. */
        String step() {
            return task.substring(0, task.lastIndexOf('.'));
        }

        int index() {
            return Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
        }
    }

    final Journal journal;
    final Map<String, Plan> plans = new HashMap<>();

    /** How many accelerators each task of a job needs; one if a job is not named. */
    final Map<String, Integer> accelerators = new HashMap<>();

    final List<Start> starts = new ArrayList<>();
    final List<End> ends = new ArrayList<>();
    private final Map<String, List<Run>> gangs = new HashMap<>();

    Tasks(Journal journal) {
        this.journal = journal;
    }

    synchronized int acceleratorsOf(String task) {
        return accelerators.getOrDefault(task.substring(0, task.indexOf('.')), 1);
    }

    private static String gangKey(Run run) {
        return run.step() + "#" + run.run;
    }

    /** Begins a run; a member of a gang works once all of them are there. */
    synchronized void begin(Run run) {
        Plan plan = plans.getOrDefault(run.job(), new Plan(1, false, 1_000, -1));
        long workNanos = plan.workMillis * 1_000_000L;
        long now = System.nanoTime();
        if (!plan.gang) {
            boolean fails = plan.fails(run);
            run.endNanos = plan.lasting && !fails ? Long.MAX_VALUE : now + workNanos;
            run.ending = fails ? "failed" : "done";
            return;
        }
        List<Run> members = gangs.computeIfAbsent(gangKey(run), key -> new ArrayList<>());
        members.add(run);
        run.endNanos = now + GANG_MILLIS * 1_000_000L;
        run.ending = "alone";
        if (members.size() < plan.count) {
            return;
        }
        for (Run member : members) {
            boolean fails = plan.fails(member);
            boolean ends = fails || plan.failing < 0 && !plan.lasting;
            member.endNanos = ends ? now + workNanos : Long.MAX_VALUE;
            member.ending = fails ? "failed" : "done";
        }
    }

    /** Breaks the rest of a gang when a member has ended other than done. */
    synchronized void afterEnd(Run run, String how) {
        List<Run> members = gangs.get(gangKey(run));
        if (members == null) {
            return;
        }
        members.remove(run);
        if (how.equals("done") || how.equals("broken")) {
            return;
        }
        for (Run member : members) {
            long at = System.nanoTime() + BREAK_MILLIS * 1_000_000L;
            if (member.endNanos > at) {
                member.endNanos = at;
                member.ending = "broken";
            }
        }
    }

    synchronized int startCount() {
        return starts.size();
    }

    synchronized List<Start> startsOf(String task) {
        return starts.stream().filter(start -> start.task.equals(task)).toList();
    }

    synchronized List<Start> startsOfJob(String job) {
        return starts.stream().filter(start -> start.task.startsWith(job + ".")).toList();
    }

    synchronized List<End> endsOf(String task) {
        return ends.stream().filter(end -> end.task.equals(task)).toList();
    }
}
