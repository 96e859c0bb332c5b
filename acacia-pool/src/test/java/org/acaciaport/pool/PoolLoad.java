package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Plays a load of drawn jobs on a pool in virtual time and tells how the kinds of request fare.
 *
 * <p>Targets are sound and orders arrive; the figures show what the decisions alone do. The same seed gives the same
 * figures.
 */
final class PoolLoad {
    private static final int TICK_MILLIS = 20;
    private static final int START_MILLIS = 30;
    private static final int STOP_MILLIS = 100;
    private static final int REPORT_MILLIS = 500;
    private static final int SETTLE_MILLIS = 60_000;
    private static final double FAR_FACTOR = 3;
    private static final int ACCOUNTS = 4;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final Pool pool = new Pool();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::number));
    private final Map<String, Asked> jobs = new LinkedHashMap<>();
    private final Map<TaskId, Running> running = new HashMap<>();
    private final Map<String, Long> ends = new HashMap<>();
    private final Map<String, Long> doneMillis = new HashMap<>();
    private double wasted;
    private long millis;
    private long numbers;

    /**
     * What the load meets.
     *
     * @param targets number of targets
     * @param rackSize targets in a rack
     * @param target room of a target
     * @param kinds kinds of request
     * @param guaranteed part of all accelerators that is guaranteed to accounts, in equal shares
     */
    record Deployment(int targets, int rackSize, Resources target, List<WorkKind> kinds, double guaranteed) {}

    /** A time in which one kind comes {@code factor} times as often. */
    record Burst(int kind, long fromMillis, long toMillis, double factor) {}

    /** What became of a kind: worth earned over worth asked for, and requests in time, late and of no use. */
    record Fared(double share, int inTime, int late, int useless) {}

    /** Figures of a play: worth earned over worth asked for in all, and work stopped and not saved, in core-seconds. */
    record Figures(Map<String, Fared> kinds, double share, double wasted) {}

    private record Event(long millis, long number, Runnable action) {}

    private record Asked(WorkKind kind, WorkKind.Drawn drawn) {}

    /** A run on a target; a gang progresses from the moment when all its members are there. */
    private static final class Running {
        TargetCommand.Start start;
        double from;
        long sinceMillis = -1;
        double seconds;

        double progress(long now) {
            return sinceMillis < 0 ? from : Math.min(1, from + (now - sinceMillis) / 1e3 / seconds);
        }
    }

    private PoolLoad(Deployment deployment, RandomGenerator random) {
        this.deployment = deployment;
        this.random = random;
    }

    static Figures play(Deployment deployment, long lengthMillis, List<Burst> bursts, RandomGenerator random) {
        PoolLoad load = new PoolLoad(deployment, random);
        load.prepare();
        for (int kind = 0; kind < deployment.kinds().size(); kind++) {
            load.arrivals(kind, lengthMillis, bursts);
        }
        load.tick(lengthMillis + SETTLE_MILLIS);
        while (!load.events.isEmpty()) {
            Event event = load.events.remove();
            load.millis = event.millis;
            event.action.run();
        }
        return load.figures();
    }

    private void at(long when, Runnable action) {
        events.add(new Event(when, numbers++, action));
    }

    private ClockReading now() {
        return new ClockReading((millis + 1) * 1_000_000, millis);
    }

    private void prepare() {
        Map<String, Long> guarantees = new HashMap<>();
        long all = deployment.targets * deployment.target.accelerators();
        for (int i = 0; i < ACCOUNTS; i++) {
            guarantees.put("account" + i, (long) (all * deployment.guaranteed / ACCOUNTS));
        }
        pool.configure(new PoolSettings(guarantees, Set.of(), Set.of(PoolFixture.SERVICE)));
        for (int i = 0; i < deployment.targets; i++) {
            String id = "t%03d".formatted(i);
            String rack = "r" + i / deployment.rackSize;
            pool.register(new TargetInfo(
                    id, PoolFixture.SERVICE, "address", "zone", rack, Set.of(rack), deployment.target, false, 0, 1));
            at(i * REPORT_MILLIS / deployment.targets, () -> reportOften(id));
        }
    }

    private void arrivals(int number, long lengthMillis, List<Burst> bursts) {
        WorkKind kind = deployment.kinds().get(number);
        long when = 0;
        while (true) {
            double rate = kind.perSecond();
            for (Burst burst : bursts) {
                if (burst.kind == number && when >= burst.fromMillis && when < burst.toMillis) {
                    rate *= burst.factor;
                }
            }
            when += (long) (-Math.log(1 - random.nextDouble()) / rate * 1_000) + 1;
            if (when >= lengthMillis) {
                return;
            }
            String id = "%s-%05d".formatted(kind.name(), when);
            String account = "account" + Math.min(random.nextInt(ACCOUNTS), random.nextInt(ACCOUNTS));
            WorkKind.Drawn drawn = kind.draw(id, account, when, random);
            at(when, () -> {
                jobs.put(id, new Asked(kind, drawn));
                pool.submit(drawn.job());
            });
        }
    }

    private void tick(long untilMillis) {
        if (millis > untilMillis) {
            events.clear();
            return;
        }
        at(millis + TICK_MILLIS, () -> {
            pool.schedule(now());
            pool.takeStops().forEach(stop -> at(millis + STOP_MILLIS, () -> stopped(stop)));
            Batch batch = pool.takeBatch();
            batch.records().forEach(this::note);
            for (TargetCommand.Start start : batch.starts()) {
                at(millis + START_MILLIS, () -> started(start));
            }
            tick(untilMillis);
        });
    }

    private void note(JobProgress progress) {
        if (progress.state() == JobState.DONE) {
            doneMillis.putIfAbsent(progress.id(), progress.endedMillis());
        }
    }

    private void started(TargetCommand.Start start) {
        Asked asked = jobs.get(start.task().job());
        Step step = asked.drawn().job().steps().get(start.task().step());
        Running run = new Running();
        run.start = start;
        run.from = start.checkpoint().isEmpty() ? 0 : Double.parseDouble(start.checkpoint());
        running.put(start.task(), run);
        pool.handleStarted(start, now());
        List<Running> together = together(start, step);
        if (together.isEmpty()) {
            return;
        }
        Set<String> racks = new HashSet<>();
        together.forEach(each -> racks.add(rack(each.start.target())));
        double far = step.constraints().tight() && racks.size() > 1 ? FAR_FACTOR : 1;
        for (Running each : together) {
            each.sinceMillis = millis;
            each.seconds = asked.drawn().seconds()[start.task().step()] * far;
            long left = (long) Math.ceil((1 - each.from) * each.seconds * 1_000);
            at(millis + left, () -> done(each));
        }
    }

    /** Returns the runs that begin to work now that {@code start} is there: its whole gang, itself, or none yet. */
    private List<Running> together(TargetCommand.Start start, Step step) {
        if (!step.mode().gang()) {
            return List.of(running.get(start.task()));
        }
        List<Running> gang = new ArrayList<>();
        for (int i = 0; i < step.count(); i++) {
            Running member = running.get(new TaskId(
                    start.task().job(), start.task().occurrence(), start.task().step(), i));
            if (member == null || member.start.run() != start.run()) {
                return List.of();
            }
            gang.add(member);
        }
        return gang;
    }

    private String rack(String target) {
        return "r" + Integer.parseInt(target.substring(1)) / deployment.rackSize;
    }

    private void done(Running run) {
        if (running.get(run.start.task()) == run) {
            end(run, TargetReport.EndReason.DONE, "");
        }
    }

    private void stopped(TargetCommand.Stop stop) {
        Running run = running.get(stop.task());
        if (run == null || run.start.run() != stop.run()) {
            return;
        }
        Step step = jobs.get(stop.task().job())
                .drawn()
                .job()
                .steps()
                .get(stop.task().step());
        double reached = run.progress(millis);
        boolean saves = step.mode().checkpoint();
        if (!saves) {
            wasted += (reached - run.from) * run.seconds * step.demand().coreEquivalents();
        }
        end(run, TargetReport.EndReason.STOPPED, saves ? Double.toString(reached) : "");
    }

    private void end(Running run, TargetReport.EndReason how, String saved) {
        running.remove(run.start.task());
        long number = ends.merge(run.start.target(), 1L, Long::sum);
        report(
                run.start.target(),
                List.of(new TargetReport.Ended(number, run.start.task(), run.start.run(), how, saved)));
    }

    private void reportOften(String target) {
        report(target, List.of());
        at(millis + REPORT_MILLIS, () -> reportOften(target));
    }

    private void report(String target, List<TargetReport.Ended> ended) {
        List<TargetReport.Running> list = new ArrayList<>();
        for (Running run : running.values()) {
            if (run.start.target().equals(target)) {
                int percent = (int) (100 * run.progress(millis));
                list.add(new TargetReport.Running(run.start.task(), run.start.run(), "", percent));
            }
        }
        pool.handleReport(new TargetReport(target, 1, now().monotonicNanos() - 1, list, ended), now());
    }

    private Figures figures() {
        Map<String, double[]> sums = new LinkedHashMap<>();
        for (Asked asked : jobs.values()) {
            WorkKind kind = asked.kind();
            Job job = asked.drawn().job();
            double weight = 0.3 + 0.7 * Math.min(4, work(asked) / meanWork(kind));
            double[] sum = sums.computeIfAbsent(kind.name(), name -> new double[5]);
            double objective = kind.terms().stretch() * asked.drawn().chainSeconds() * 1_000
                    + kind.terms().objectiveMillis();
            long took = doneMillis.getOrDefault(job.id(), Long.MAX_VALUE / 2) - job.acceptedMillis();
            int outcome = took > 3 * objective ? 2 : took > objective ? 1 : 0;
            sum[0] += weight * kind.worth();
            sum[1] += weight * (outcome == 0 ? kind.worth() : outcome == 1 ? kind.lateWorth() : 0);
            sum[2 + outcome]++;
        }
        Map<String, Fared> kinds = new LinkedHashMap<>();
        sums.forEach(
                (name, sum) -> kinds.put(name, new Fared(sum[1] / sum[0], (int) sum[2], (int) sum[3], (int) sum[4])));
        double owed = 0;
        double earned = 0;
        for (double[] sum : sums.values()) {
            owed += sum[0];
            earned += sum[1];
        }
        return new Figures(kinds, earned / owed, wasted);
    }

    private static double work(Asked asked) {
        double sum = 0;
        for (int i = 0; i < asked.drawn().seconds().length; i++) {
            Step step = asked.drawn().job().steps().get(i);
            sum += step.count()
                    * step.demand().coreEquivalents()
                    * asked.drawn().seconds()[i];
        }
        return sum;
    }

    private static double meanWork(WorkKind kind) {
        double accelerators = 0;
        for (int each : kind.accelerators()) {
            accelerators += (double) each / kind.accelerators().length;
        }
        return kind.meanSteps() * kind.meanTasks() * (kind.cores() + 8 * accelerators) * kind.meanSeconds();
    }
}
