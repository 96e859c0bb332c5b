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
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

/**
 * A simulation of a pool under a random load in virtual time.
 *
 * <p>Targets are healthy and no command is lost, so that the results depend only on the decisions of the pool. The same
 * seed gives the same results.
 */
final class PoolSimulation {
    private static final int PASS_INTERVAL_MILLIS = 20;
    private static final int START_LATENCY_MILLIS = 30;
    private static final int STOP_LATENCY_MILLIS = 100;
    private static final int REPORT_INTERVAL_MILLIS = 500;
    private static final int DRAIN_MILLIS = 60_000;
    private static final double CROSS_RACK_SLOWDOWN = 3;

    /** Largest number of attempts of a caller whose request is refused. */
    private static final int MAX_ATTEMPTS = 5;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final Gate gate;
    private final LongConsumer passNanos;
    private final Pool pool = new Pool();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::number));
    private final Map<String, Submission> submissions = new LinkedHashMap<>();
    private final Map<TaskId, Running> running = new HashMap<>();
    private final Map<String, Long> endCounts = new HashMap<>();
    private final Map<String, Long> startMillis = new HashMap<>();
    private final Map<String, Long> doneMillis = new HashMap<>();
    private double wastedCoreSeconds;
    private long millis;
    private long nextEventNumber;

    /**
     * The targets of a pool, and the load on them.
     *
     * @param targets number of targets
     * @param rackSize number of targets in a rack
     * @param target capacity of a target
     * @param kinds kinds of request
     * @param accounts number of client accounts
     * @param guaranteedFraction fraction of all accelerators that is guaranteed to the accounts, in equal parts
     * @param speeds speeds of the targets, assigned in turn; a task takes its duration divided by the speed
     * @param swing periodic change of all arrival rates
     */
    record Deployment(
            int targets,
            int rackSize,
            Resources target,
            List<WorkKind> kinds,
            int accounts,
            double guaranteedFraction,
            List<Double> speeds,
            Swing swing) {
        /** Creates a deployment of equally fast targets with steady arrival rates. */
        Deployment(
                int targets,
                int rackSize,
                Resources target,
                List<WorkKind> kinds,
                int accounts,
                double guaranteedFraction) {
            this(targets, rackSize, target, kinds, accounts, guaranteedFraction, List.of(1.0), Swing.NONE);
        }

        /** Returns the speed of target number {@code index}. */
        double speedOf(int index) {
            return speeds.get(index % speeds.size());
        }
    }

    /**
     * A sinusoidal change of the arrival rates.
     *
     * @param relativeAmplitude amplitude as a fraction of the mean rate
     * @param periodMillis period, in milliseconds
     */
    record Swing(double relativeAmplitude, long periodMillis) {
        static final Swing NONE = new Swing(0, 1);

        double factor(long millis) {
            return 1 + relativeAmplitude * Math.sin(2 * Math.PI * millis / periodMillis);
        }
    }

    /** A period in which requests of one kind arrive {@code factor} times as often. */
    record Burst(int kind, long fromMillis, long toMillis, double factor) {}

    /**
     * Results of one kind of request: earned fraction of its value, and numbers of requests in time, late and missed.
     */
    record KindResult(double valueFraction, int inTime, int late, int missed) {}

    /**
     * Results of a simulation: by kind, earned fraction of the total value, and work lost by stops, in core-seconds.
     */
    record Results(Map<String, KindResult> kinds, double valueFraction, double wastedCoreSeconds) {}

    /**
     * How a pool differs from one without settings.
     *
     * @param limit limit of each account; {@link Resources#NONE} for none
     * @param prepare is given the pool before it has any target
     */
    record Setup(Resources limit, Consumer<Pool> prepare) {
        static final Setup DEFAULT = new Setup(Resources.NONE, pool -> {});
    }

    /** Decides whether a request is accepted. */
    interface Gate {
        /** Accepts each request. */
        Gate OPEN = (pool, job, now) -> 0;

        /** Returns in how many milliseconds the caller of a refused job returns, or 0 if the job is accepted. */
        long retryAfterMillis(Pool pool, Job job, ClockReading now);
    }

    /**
     * A whole simulation.
     *
     * @param results the results
     * @param submissions the requests by id, accepted or not
     * @param startMillis when the first task of each request started, in milliseconds
     * @param doneMillis when each completed request ended, in milliseconds
     */
    record Trace(
            Results results,
            Map<String, Submission> submissions,
            Map<String, Long> startMillis,
            Map<String, Long> doneMillis) {}

    private record Event(long millis, long number, Runnable action) {}

    /** A submitted request and its kind. */
    record Submission(WorkKind kind, WorkKind.Sample sample) {}

    /**
     * A run on a target. The runs of a gang make progress only once all of them have started, each at the speed of its
     * target, and end together.
     */
    private static final class Running {
        TargetCommand.Start start;
        double startProgress;
        long sinceMillis = -1;
        double seconds;

        double progress(long now) {
            return sinceMillis < 0 ? startProgress : Math.min(1, startProgress + (now - sinceMillis) / 1e3 / seconds);
        }
    }

    private PoolSimulation(Deployment deployment, RandomGenerator random, Gate gate, LongConsumer passNanos) {
        this.deployment = deployment;
        this.random = random;
        this.gate = gate;
        this.passNanos = passNanos;
    }

    static Results simulate(Deployment deployment, long lengthMillis, List<Burst> bursts, RandomGenerator random) {
        return trace(deployment, lengthMillis, bursts, random, Gate.OPEN).results();
    }

    /**
     * Simulates {@code deployment} under load for {@code lengthMillis} and until most work has ended.
     *
     * @param passNanos receives the processor time of each scheduling pass, in nanoseconds
     */
    static Results simulate(
            Deployment deployment,
            long lengthMillis,
            List<Burst> bursts,
            RandomGenerator random,
            LongConsumer passNanos) {
        return trace(deployment, lengthMillis, bursts, random, Gate.OPEN, passNanos, Setup.DEFAULT)
                .results();
    }

    /** Simulates a load whose requests {@code gate} may refuse. */
    static Trace trace(
            Deployment deployment, long lengthMillis, List<Burst> bursts, RandomGenerator random, Gate gate) {
        return trace(deployment, lengthMillis, bursts, random, gate, nanos -> {}, Setup.DEFAULT);
    }

    /** Simulates a load on a pool with {@code setup}. */
    static Trace trace(
            Deployment deployment,
            long lengthMillis,
            List<Burst> bursts,
            RandomGenerator random,
            Gate gate,
            Setup setup) {
        return trace(deployment, lengthMillis, bursts, random, gate, nanos -> {}, setup);
    }

    private static Trace trace(
            Deployment deployment,
            long lengthMillis,
            List<Burst> bursts,
            RandomGenerator random,
            Gate gate,
            LongConsumer passNanos,
            Setup setup) {
        PoolSimulation simulation = new PoolSimulation(deployment, random, gate, passNanos);
        setup.prepare.accept(simulation.pool);
        simulation.registerTargets(setup.limit);
        for (int kind = 0; kind < deployment.kinds().size(); kind++) {
            simulation.scheduleArrivals(kind, lengthMillis, bursts);
        }
        simulation.schedulePass(lengthMillis + DRAIN_MILLIS);
        while (!simulation.events.isEmpty()) {
            Event event = simulation.events.remove();
            simulation.millis = event.millis;
            event.action.run();
        }
        Results results =
                LoadScore.of(simulation.submissions.values(), simulation.doneMillis, simulation.wastedCoreSeconds);
        return new Trace(results, simulation.submissions, simulation.startMillis, simulation.doneMillis);
    }

    private void schedule(long atMillis, Runnable action) {
        events.add(new Event(atMillis, nextEventNumber++, action));
    }

    private ClockReading now() {
        return new ClockReading((millis + 1) * 1_000_000, millis);
    }

    private void registerTargets(Resources limit) {
        Map<String, AccountTerms> accounts = new HashMap<>();
        long totalAccelerators = deployment.targets * deployment.target.accelerators();
        for (int i = 0; i < deployment.accounts; i++) {
            long share = (long) (totalAccelerators * deployment.guaranteedFraction / deployment.accounts);
            accounts.put("account" + i, new AccountTerms(share, 0, limit));
        }
        pool.configure(new PoolSettings(accounts, Set.of(), Map.of()));
        for (int i = 0; i < deployment.targets; i++) {
            String id = "t%03d".formatted(i);
            String rack = "r" + i / deployment.rackSize;
            pool.register(new TargetInfo(
                    id, PoolFixture.SERVICE, "address", "dc", rack, Set.of(rack), deployment.target, false, 0, 1));
            schedule(i * REPORT_INTERVAL_MILLIS / deployment.targets, () -> reportPeriodically(id));
        }
    }

    private void scheduleArrivals(int number, long lengthMillis, List<Burst> bursts) {
        WorkKind kind = deployment.kinds().get(number);
        long when = 0;
        while (true) {
            double rate = kind.perSecond() * deployment.swing.factor(when);
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
            String account =
                    "account" + Math.min(random.nextInt(deployment.accounts), random.nextInt(deployment.accounts));
            WorkKind.Sample sample = kind.sample(id, account, when, random);
            schedule(when, () -> {
                submissions.put(id, new Submission(kind, sample));
                attempt(sample.job(), 1);
            });
        }
    }

    /** Submits a job; the caller of a refused one returns with the same id. */
    private void attempt(Job first, int number) {
        Job job = new Job(
                first.id(),
                first.queue(),
                first.service(),
                first.account(),
                first.terms(),
                first.payload(),
                first.steps(),
                first.schedule(),
                millis);
        long retryAfterMillis = gate.retryAfterMillis(pool, job, now());
        if (retryAfterMillis == 0) {
            pool.submit(job, now());
        } else if (number < MAX_ATTEMPTS) {
            schedule(millis + retryAfterMillis, () -> attempt(first, number + 1));
        }
    }

    private void schedulePass(long untilMillis) {
        if (millis > untilMillis) {
            events.clear();
            return;
        }
        schedule(millis + PASS_INTERVAL_MILLIS, () -> {
            long startNanos = PassTimes.threadNanos();
            pool.schedule(now());
            passNanos.accept(PassTimes.threadNanos() - startNanos);
            pool.takeStops().forEach(stop -> schedule(millis + STOP_LATENCY_MILLIS, () -> handleStop(stop)));
            Batch batch = pool.takeBatch();
            batch.records().forEach(this::recordCompletion);
            for (TargetCommand.Start start : batch.starts()) {
                schedule(millis + START_LATENCY_MILLIS, () -> handleStart(start));
            }
            schedulePass(untilMillis);
        });
    }

    private void recordCompletion(JobProgress progress) {
        if (progress.state() == JobState.DONE) {
            doneMillis.putIfAbsent(progress.id(), progress.endedMillis());
        }
    }

    private void handleStart(TargetCommand.Start start) {
        startMillis.putIfAbsent(start.task().job(), millis);
        Submission submission = submissions.get(start.task().job());
        Step step = submission.sample().job().steps().get(start.task().step());
        Running run = new Running();
        run.start = start;
        run.startProgress = start.checkpoint().isEmpty() ? 0 : Double.parseDouble(start.checkpoint());
        running.put(start.task(), run);
        pool.handleStarted(start, now());
        List<Running> active = activatedRuns(start, step);
        if (active.isEmpty()) {
            return;
        }
        Set<String> racks = new HashSet<>();
        active.forEach(each -> racks.add(rackOf(each.start.target())));
        double slowdown = step.constraints().tight() && racks.size() > 1 ? CROSS_RACK_SLOWDOWN : 1;
        long remaining = 0;
        for (Running each : active) {
            each.sinceMillis = millis;
            each.seconds = submission.sample().seconds(each.start.task()) * slowdown / speedOf(each.start.target());
            remaining = Math.max(remaining, (long) Math.ceil((1 - each.startProgress) * each.seconds * 1_000));
        }
        for (Running each : active) {
            schedule(millis + remaining, () -> handleDone(each));
        }
    }

    /** Returns the runs that begin to make progress with {@code start}: its whole gang, the run alone, or none yet. */
    private List<Running> activatedRuns(TargetCommand.Start start, Step step) {
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

    private String rackOf(String target) {
        return "r" + indexOf(target) / deployment.rackSize;
    }

    private double speedOf(String target) {
        return deployment.speedOf(indexOf(target));
    }

    private static int indexOf(String target) {
        return Integer.parseInt(target.substring(1));
    }

    private void handleDone(Running run) {
        if (running.get(run.start.task()) == run) {
            endRun(run, TargetReport.EndReason.DONE, "");
        }
    }

    private void handleStop(TargetCommand.Stop stop) {
        Running run = running.get(stop.task());
        if (run == null || run.start.run() != stop.run()) {
            return;
        }
        Step step = submissions
                .get(stop.task().job())
                .sample()
                .job()
                .steps()
                .get(stop.task().step());
        double progress = run.progress(millis);
        boolean checkpoints = step.mode().checkpoint();
        if (!checkpoints) {
            wastedCoreSeconds +=
                    (progress - run.startProgress) * run.seconds * step.demand().coreEquivalents();
        }
        endRun(run, TargetReport.EndReason.STOPPED, checkpoints ? Double.toString(progress) : "");
    }

    private void endRun(Running run, TargetReport.EndReason reason, String checkpoint) {
        running.remove(run.start.task());
        long number = endCounts.merge(run.start.target(), 1L, Long::sum);
        report(
                run.start.target(),
                List.of(new TargetReport.Ended(number, run.start.task(), run.start.run(), reason, checkpoint)));
    }

    private void reportPeriodically(String target) {
        report(target, List.of());
        schedule(millis + REPORT_INTERVAL_MILLIS, () -> reportPeriodically(target));
    }

    private void report(String target, List<TargetReport.Ended> ended) {
        List<TargetReport.Running> runs = new ArrayList<>();
        for (Running run : running.values()) {
            if (run.start.target().equals(target)) {
                int percent = (int) (100 * run.progress(millis));
                runs.add(new TargetReport.Running(run.start.task(), run.start.run(), "", percent));
            }
        }
        pool.handleReport(new TargetReport(target, 1, now().monotonicNanos() - 1, runs, ended, true), now());
    }
}
