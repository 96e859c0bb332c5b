package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random jobs of accounts with limits, lasting and recurring ones among them, with random ends, failures, lost and
 * silent targets, starts that are released late and out of step, stray runs, new leaders and changes of limits.
 */
final class LimitSimulationTest {
    private static final int SEEDS = 60;
    private static final int EVENTS = 400;
    private static final int TARGETS = 6;
    private static final int ACCOUNTS = 3;

    /** Most accelerators that a limit allows; a third of the pool. */
    private static final int MAX_LIMIT = 16;

    /** Longest time for which a target is silent, in milliseconds; shorter than a lease. */
    private static final int MAX_SILENCE_MILLIS = 2_000;

    /** Run number of the first stray run, above those of the pool. */
    private static final int FIRST_STRAY_RUN = 1_000;

    private static final Logger LOGGER = Logger.getLogger(Pool.class.getPackageName());

    private final Map<String, AccountTerms> accounts = new HashMap<>();
    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, JobProgress> persisted = new HashMap<>();

    /** The runs that targets may have, as the platform counts them. */
    private final Map<TaskId, TargetCommand.Start> running = new HashMap<>();

    /** Starts that were decided and have not reached their targets. */
    private final List<TargetCommand.Start> unsent = new ArrayList<>();

    /** Runs on targets that no pool expects. */
    private final List<TargetCommand.Start> strays = new ArrayList<>();

    /** Those that the present leader has seen in a report. */
    private final Set<TargetCommand.Start> knownStrays = new HashSet<>();

    /** Time until which a target does not answer, in milliseconds. */
    private final Map<String, Long> silentUntil = new HashMap<>();

    private final Map<String, Long> endCounts = new HashMap<>();
    private Random random;
    private Pool pool;
    private long millis = 1_000_000;

    /** The lines of all decisions would take most of the time of the test. */
    @BeforeAll
    static void silenceDecisions() {
        LOGGER.setLevel(Level.WARNING);
    }

    @AfterAll
    static void restoreLevel() {
        LOGGER.setLevel(null);
    }

    static IntStream seeds() {
        return IntStream.range(0, SEEDS);
    }

    /** Guards against any start that takes an account above its limit, counted by the runs on the targets. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noStartTakesAnAccountAboveItsLimit(int seed) {
        random = new Random(seed);
        changeLimits();
        lead();
        for (int i = 0; i < EVENTS; i++) {
            millis += random.nextInt(120);
            playEvent();
            if (i == EVENTS / 2) {
                lead();
            }
            schedule(seed);
        }
        removeLimitsAndFinish(seed);
    }

    private ClockReading now() {
        return new ClockReading(millis * 1_000_000, millis);
    }

    private void playEvent() {
        switch (random.nextInt(21)) {
            case 0, 1, 2, 3 -> submit();
            case 4 -> changeLimits();
            case 5 -> loseTarget(randomTarget());
            case 6 -> silenceTarget(randomTarget());
            case 7 -> lead();
            case 8 -> cancel();
            case 9, 10 -> endRandomRun(TargetReport.EndReason.FAILED);
            case 11, 12, 13, 14, 15 -> endRandomRun(TargetReport.EndReason.DONE);
            case 16 -> addStray();
            default -> report(randomTarget());
        }
    }

    private String randomTarget() {
        return "t" + random.nextInt(TARGETS);
    }

    private void changeLimits() {
        for (int i = 0; i < ACCOUNTS; i++) {
            Resources limit = new Resources(random.nextInt(3) * 8_000L, 0, random.nextInt(MAX_LIMIT));
            accounts.put("a" + i, new AccountTerms(8, 0, limit));
        }
        if (pool != null) {
            configure();
        }
    }

    private void configure() {
        pool.configure(new PoolSettings(accounts, Set.of(), Map.of()));
    }

    /** Replaces the pool by that of a new leader, which knows only what is persisted and what targets report. */
    private void lead() {
        pool = new Pool();
        unsent.clear();
        knownStrays.clear();
        jobs.values().forEach(job -> {
            JobProgress progress = persisted.get(job.id());
            if (progress == null) {
                pool.submit(job, now());
            } else {
                pool.restore(job, progress, now());
            }
        });
        configure();
        for (int i = 0; i < TARGETS; i++) {
            register("t" + i);
            report("t" + i);
        }
    }

    private void register(String id) {
        pool.register(new TargetInfo(
                id, PoolFixture.SERVICE, "address", "dc", "r", Set.of("r"), PoolFixture.TARGET_CAPACITY, false, 0, 1));
    }

    private void submit() {
        String id = "j" + jobs.size();
        int count = 1 + random.nextInt(6);
        boolean gang = random.nextBoolean();
        boolean filling = random.nextInt(4) == 0;
        Resources demand = new Resources(1_000L * (1 + random.nextInt(4)), 1_000, random.nextInt(4));
        boolean lasting = random.nextInt(12) == 0;
        boolean recurring = !lasting && random.nextInt(6) == 0;
        Step.Mode mode = new Step.Mode(gang && !lasting, random.nextBoolean(), false, lasting, filling, 0);
        Step step = new Step(count, demand, 2_000, List.of(), Step.Constraints.NONE, mode);
        Job.Terms terms = new Job.Terms(random.nextInt(3), 3, 3.0, 1_000);
        String account = "a" + random.nextInt(ACCOUNTS);
        Job.Schedule schedule = recurring ? new Job.Schedule(3, millis, 300) : Job.Schedule.NOW;
        Job job = new Job(id, "queue", PoolFixture.SERVICE, account, terms, "", List.of(step), schedule, millis);
        jobs.put(id, job);
        pool.submit(job, now());
    }

    private void cancel() {
        if (!jobs.isEmpty()) {
            pool.cancel("j" + random.nextInt(jobs.size()), now());
        }
    }

    /** Adds a run of a known job that the leader does not expect, and reports it. */
    private void addStray() {
        String target = randomTarget();
        if (jobs.isEmpty() || isSilent(target)) {
            return;
        }
        String job = "j" + random.nextInt(jobs.size());
        int run = FIRST_STRAY_RUN + random.nextInt(FIRST_STRAY_RUN);
        strays.add(new TargetCommand.Start(target, 1, new TaskId(job, 0, 0, 0), run, "", ""));
        report(target);
    }

    private boolean isSilent(String target) {
        return silentUntil.getOrDefault(target, 0L) > millis;
    }

    private void endRandomRun(TargetReport.EndReason reason) {
        List<TargetCommand.Start> starts = new ArrayList<>(running.values());
        if (reason == TargetReport.EndReason.DONE) {
            starts.removeIf(start -> stepOf(start).mode().lasting());
        }
        if (!starts.isEmpty()) {
            endRun(starts.get(random.nextInt(starts.size())), reason);
        }
    }

    /** Ends a run; the other members of its gang end with it, as on the platform. */
    private void endRun(TargetCommand.Start start, TargetReport.EndReason reason) {
        Step step = stepOf(start);
        boolean complete = unsent.stream().noneMatch(other -> isSameGang(other, start));
        if (reason == TargetReport.EndReason.DONE && step.mode().gang() && !complete) {
            return;
        }
        List<TargetCommand.Start> ending = new ArrayList<>(List.of(start));
        if (step.mode().gang()) {
            running.values().stream()
                    .filter(other -> other != start && isSameGang(other, start))
                    .forEach(ending::add);
        }
        if (ending.stream().anyMatch(each -> isSilent(each.target()))) {
            return;
        }
        ending.forEach(each -> running.remove(each.task()));
        for (TargetCommand.Start each : ending) {
            boolean first = each == start || reason == TargetReport.EndReason.DONE;
            TargetReport.EndReason own = first ? reason : TargetReport.EndReason.BROKEN;
            long number = endCounts.merge(each.target(), 1L, Long::sum);
            report(each.target(), new TargetReport.Ended(number, each.task(), each.run(), own, ""));
        }
    }

    private static boolean isSameGang(TargetCommand.Start one, TargetCommand.Start other) {
        return one.task().job().equals(other.task().job())
                && one.task().occurrence() == other.task().occurrence()
                && one.run() == other.run();
    }

    private void report(String target, TargetReport.Ended... ended) {
        if (isSilent(target)) {
            return;
        }
        long requestNanos = now().monotonicNanos();
        millis++;
        List<TargetReport.Running> runs = new ArrayList<>();
        for (TargetCommand.Start start : running.values()) {
            if (start.target().equals(target)) {
                runs.add(new TargetReport.Running(start.task(), start.run(), "", (int) (millis / 50 % 100)));
            }
        }
        for (TargetCommand.Start stray : strays) {
            if (stray.target().equals(target)) {
                runs.add(new TargetReport.Running(stray.task(), stray.run(), "", 0));
                knownStrays.add(stray);
            }
        }
        pool.handleReport(new TargetReport(target, 1, requestNanos, runs, List.of(ended), true), now());
    }

    /** The target dies; the pool learns it by the end of the lease. */
    private void loseTarget(String id) {
        running.values().removeIf(start -> start.target().equals(id));
        strays.removeIf(start -> start.target().equals(id));
        silentUntil.remove(id);
        pool.unregister(id);
        pool.handleLeaseExpiry(id, 0, now());
        register(id);
        report(id);
    }

    /** The target is not heard of for a while but its runs go on. */
    private void silenceTarget(String id) {
        int silence = random.nextInt(MAX_SILENCE_MILLIS);
        silentUntil.put(id, millis + silence);
        pool.exclude(id, silence, now());
    }

    private Step stepOf(TargetCommand.Start start) {
        return jobs.get(start.task().job()).steps().get(start.task().step());
    }

    private void schedule(int seed) {
        pool.schedule(now());
        Batch batch = pool.takeBatch();
        batch.records().forEach(record -> persisted.put(record.id(), record));
        unsent.addAll(batch.starts());
        releaseSomeStarts(seed);
        List<TargetCommand.Stop> stops = new ArrayList<>(pool.takeStops());
        Collections.shuffle(stops, random);
        for (TargetCommand.Stop stop : stops) {
            TargetCommand.Start start = running.get(stop.task());
            if (start != null && start.run() == stop.run() && random.nextBoolean()) {
                endRun(start, TargetReport.EndReason.STOPPED);
            }
            strays.removeIf(stray ->
                    stray.task().equals(stop.task()) && stray.run() == stop.run() && !isSilent(stray.target()));
        }
    }

    /** Sends about half of the starts that have not been sent, in any order, unless they are not wanted any more. */
    private void releaseSomeStarts(int seed) {
        List<TargetCommand.Start> releasable = new ArrayList<>(unsent);
        Collections.shuffle(releasable, random);
        for (TargetCommand.Start start : releasable) {
            if (random.nextBoolean() || isSilent(start.target())) {
                continue;
            }
            unsent.remove(start);
            if (!pool.isWanted(start)) {
                pool.handleStartFailure(start, "not wanted", 0, now());
                continue;
            }
            assertWithMessage("seed %s: a task runs twice", seed)
                    .that(running.put(start.task(), start))
                    .isNull();
            assertWithinLimit(jobs.get(start.task().job()).account(), seed);
            if (random.nextInt(3) > 0) {
                pool.handleStarted(start, now());
            }
        }
    }

    private void assertWithinLimit(String account, int seed) {
        List<TargetCommand.Start> counted = new ArrayList<>(running.values());
        strays.stream().filter(knownStrays::contains).forEach(counted::add);
        Resources total = Resources.NONE;
        for (TargetCommand.Start start : counted) {
            if (jobs.get(start.task().job()).account().equals(account)) {
                total = total.plus(stepOf(start).demand());
            }
        }
        assertWithMessage("seed %s: %s uses %s of %s", seed, account, total, accounts.get(account))
                .that(accounts.getOrDefault(account, AccountTerms.NONE).isWithinLimit(total))
                .isTrue();
    }

    /** Guards against work that a limit has held back and that never runs once the limit is gone. */
    private void removeLimitsAndFinish(int seed) {
        accounts.clear();
        configure();
        jobs.values().stream()
                .filter(job -> job.steps().get(0).mode().lasting())
                .forEach(job -> pool.cancel(job.id(), now()));
        for (int i = 0; i < 4_000 && !allEnded(); i++) {
            millis += 50;
            endRandomRun(TargetReport.EndReason.DONE);
            for (int target = 0; target < TARGETS; target++) {
                report("t" + target);
            }
            schedule(seed);
        }
        assertWithMessage("seed %s: jobs left", seed).that(allEnded()).isTrue();
    }

    private boolean allEnded() {
        return jobs.keySet().stream()
                .allMatch(id ->
                        persisted.containsKey(id) && persisted.get(id).state().isTerminal());
    }
}
