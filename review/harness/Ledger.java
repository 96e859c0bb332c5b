import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What was sent, answered and run, and the rules that were broken. All methods are synchronized. */
final class Ledger {
    /** A step of a submitted job. */
    record Step(
            int count, long cpu, long mem, long gpu, long millis, List<Integer> after, boolean gang, boolean checkpoint,
            int spread) {}

    /** A job as its client sent it. */
    static final class Job {
        final String id;
        final String route;
        final String spec;
        final int attempts;
        final List<Step> steps;
        long acceptedNanos;
        boolean rejectedOnly = true;
        long cancelSentNanos;
        long cancelAckNanos;
        boolean shownDone;
        boolean taskFailed;

        /** Label that the workers of all steps must have; empty for none. */
        String requires = "";

        /** Whether the tasks run until the job is cancelled. */
        boolean lasting;

        /** Whether the first run of the job fails. */
        boolean failsOnce;

        final Set<String> done = new HashSet<>();
        final Map<String, Integer> failures = new HashMap<>();

        Job(String id, String route, String spec, int attempts, List<Step> steps) {
            this.id = id;
            this.route = route;
            this.spec = spec;
            this.attempts = attempts;
            this.steps = steps;
        }

        boolean allDone() {
            int total = steps.stream().mapToInt(Step::count).sum();
            return done.size() == total;
        }
    }

    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final Map<String, Job> jobs = new HashMap<>();

    /** Active runs of each task: worker and run. */
    private final Map<String, Set<String>> active = new HashMap<>();

    /** Ends done that were taken note of. */
    private final Set<String> notedDone = new HashSet<>();

    /** Runs of each task or gang that ended failed, as far as that was taken note of. */
    private final Map<String, Set<Integer>> notedFailures = new HashMap<>();

    /** The highest run of each task that was started. */
    private final Map<String, Integer> lastStarted = new HashMap<>();

    final List<String> broken = new ArrayList<>();
    int starts;
    int dones;
    int lapses;

    Ledger(Path record) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(record), true);
    }

    synchronized void log(String format, Object... arguments) {
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        out.println(String.format("%8.3f ", seconds) + String.format(format, arguments));
    }

    synchronized void breakRule(String rule, String format, Object... arguments) {
        String text = rule + ": " + String.format(format, arguments);
        broken.add(text);
        log("BROKEN %s", text);
    }

    synchronized void add(Job job) {
        jobs.put(job.id, job);
    }

    synchronized Job job(String id) {
        return jobs.get(id);
    }

    synchronized List<Job> jobs() {
        return new ArrayList<>(jobs.values());
    }

    /** Returns whether a task of the job runs somewhere. */
    synchronized boolean isRunning(Job job) {
        for (Map.Entry<String, Set<String>> entry : active.entrySet()) {
            if (!entry.getValue().isEmpty() && jobOf(entry.getKey()).equals(job.id)) {
                return true;
            }
        }
        return false;
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('.'));
    }

    static int stepOf(String task) {
        return Integer.parseInt(task.split("\\.")[2]);
    }

    synchronized void started(String worker, String task, int run, String spec) {
        starts++;
        log("start   %s run %s on %s", task, run, worker);
        Job job = jobs.get(jobOf(task));
        if (job == null || stepOf(task) >= job.steps.size()) {
            breakRule("UNASKED", "%s on %s was never sent by a client", task, worker);
            return;
        }
        if (!job.spec.equals(spec)) {
            breakRule("UNASKED", "%s on %s has another spec", task, worker);
        }
        Set<String> runs = active.computeIfAbsent(task, t -> new HashSet<>());
        if (!runs.isEmpty()) {
            breakRule("TWICE", "%s run %s starts on %s while it runs as %s", task, run, worker, runs);
        }
        runs.add(worker + "/" + run);
        lastStarted.merge(task, run, Math::max);
        if (notedDone.contains(task)) {
            breakRule("TWICE", "%s run %s starts on %s after an end done that was taken note of", task, run, worker);
        }
        Step step = job.steps.get(stepOf(task));
        String counted = step.gang() ? task.substring(0, task.lastIndexOf('.')) : task;
        if (notedFailures.getOrDefault(counted, Set.of()).size() >= job.attempts) {
            breakRule("BUDGET", "%s run %s starts on %s after %s failures", task, run, worker, job.attempts);
        }
        for (int earlier : step.after()) {
            String prefix = job.id + ".0." + earlier + ".";
            long done = job.done.stream().filter(t -> t.startsWith(prefix)).count();
            if (done < job.steps.get(earlier).count()) {
                breakRule("ORDER", "%s starts before step %s is done", task, earlier);
            }
        }
        if (job.cancelAckNanos != 0 && System.nanoTime() - job.cancelAckNanos > 3_000_000_000L) {
            breakRule(
                    "UNASKED", "%s starts on %s %s ms after its cancelling was acknowledged",
                    task, worker, (System.nanoTime() - job.cancelAckNanos) / 1_000_000);
        }
    }

    synchronized void ended(String worker, String task, int run, String how) {
        log("end     %s run %s on %s %s", task, run, worker, how);
        Set<String> runs = active.get(task);
        if (runs != null) {
            runs.remove(worker + "/" + run);
        }
        Job job = jobs.get(jobOf(task));
        if (job == null) {
            return;
        }
        if (how.equals("done")) {
            dones++;
            job.done.add(task);
        }
        if (how.equals("lapsed")) {
            lapses++;
        }
    }

    /** An end was taken note of; the lease of the worker has not lapsed since the end. */
    synchronized void noted(String worker, String task, int run, String how) {
        log("noted   %s run %s on %s %s", task, run, worker, how);
        Job job = jobs.get(jobOf(task));
        if (job == null) {
            return;
        }
        if (how.equals("done")) {
            notedDone.add(task);
            if (lastStarted.getOrDefault(task, 0) > run) {
                breakRule(
                        "TWICE", "%s run %s started after run %s ended done on %s, which is taken note of",
                        task, lastStarted.get(task), run, worker);
            }
            Set<String> runs = active.get(task);
            if (runs != null && !runs.isEmpty()) {
                breakRule("TWICE", "%s runs as %s, and its end done as run %s is taken note of", task, runs, run);
            }
        }
        if (how.equals("failed")) {
            Step step = job.steps.get(stepOf(task));
            String counted = step.gang() ? task.substring(0, task.lastIndexOf('.')) : task;
            Set<Integer> failed = notedFailures.computeIfAbsent(counted, c -> new HashSet<>());
            failed.add(run);
            if (failed.size() >= job.attempts) {
                job.taskFailed = true;
            }
        }
    }

    /** A worker crashed: nothing runs there any more. */
    synchronized void crashed(String worker) {
        log("crash   %s", worker);
        active.values().forEach(runs -> runs.removeIf(run -> run.startsWith(worker + "/")));
    }

    synchronized void close() {
        out.close();
    }
}
