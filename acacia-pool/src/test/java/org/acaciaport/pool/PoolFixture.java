package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A pool in virtual time with targets of 8 accelerators and 32 cores. Batches are persisted at once, and targets
 * confirm each start; tests decide when runs end.
 */
final class PoolFixture {
    static final String SERVICE = "render";
    /** Longest time for which work may wait while there is room for it twice over, in milliseconds. */
    static final int MAX_WAIT_WITH_ROOM_MILLIS = 3_000;

    private static final int PASS_INTERVAL_MILLIS = 50;

    static final Resources TARGET_CAPACITY = new Resources(32_000, 64_000, 8);

    final Pool pool = new Pool();
    final Map<TaskId, TargetCommand.Start> running = new HashMap<>();
    final List<TargetCommand.Start> starts = new ArrayList<>();
    final List<TargetCommand.Stop> stops = new ArrayList<>();
    final Map<String, JobProgress> persisted = new HashMap<>();
    private final Map<String, Long> endCounts = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private long millis = 1_000_000;

    ClockReading now() {
        return new ClockReading(millis * 1_000_000, millis);
    }

    /** Registers a target and handles its first report. */
    void addTarget(String id, String rack) {
        registerTarget(id, rack);
        report(id);
    }

    /** Registers a target that has not reported yet. */
    void registerTarget(String id, String rack) {
        registerTarget(id, rack, SERVICE);
    }

    private void registerTarget(String id, String rack, String service) {
        incarnations.put(id, 1L);
        pool.register(
                new TargetInfo(id, service, "address", "dc", rack, Set.of("a", rack), TARGET_CAPACITY, false, 0, 1));
    }

    /** Registers a target of {@code service} and handles its first report. */
    void addTargetOf(String service, String id) {
        registerTarget(id, "r1", service);
        report(id);
    }

    /** Sends the queue of the jobs to {@code service}, as the newest settings. */
    void sendQueueTo(String service) {
        pool.configure(new PoolSettings(Map.of(), Set.of(), Map.of("queue", service)));
        pool.confirmSettings(now());
    }

    /** Adds targets t0, t1 and so on, and runs a task of eight accelerators on each; returns the tasks. */
    List<TaskId> occupyTargets(int count) {
        for (int i = 0; i < count; i++) {
            addTarget("t" + i, "r1");
        }
        submit(job("busy", "x", 1, independentTasks(count, 8)));
        assertThat(running).hasSize(count);
        return new ArrayList<>(running.keySet());
    }

    void drainTarget(String id, String rack, long departureNanos) {
        pool.register(new TargetInfo(
                id, SERVICE, "address", "dc", rack, Set.of("a", rack), TARGET_CAPACITY, true, departureNanos, 1));
    }

    void setGuarantee(String account, long accelerators) {
        pool.configure(new PoolSettings(Map.of(account, AccountTerms.ofGuarantee(accelerators)), Set.of(), Map.of()));
    }

    static Step step(int count, long accelerators, Step.Mode mode, boolean tight) {
        Step.Constraints constraints = new Step.Constraints("", "", 0, tight);
        return new Step(count, new Resources(1_000, 1_000, accelerators), 5_000, List.of(), constraints, mode);
    }

    static Step gang(int count, long accelerators, boolean tight) {
        return step(count, accelerators, new Step.Mode(true, false, false, false, false, 0), tight);
    }

    static Step independentTasks(int count, long accelerators) {
        return step(count, accelerators, Step.Mode.PLAIN, false);
    }

    Job job(String id, String account, int priority, Step... steps) {
        Job.Terms terms = new Job.Terms(priority, 2, 3.0, 1_000);
        return new Job(id, "queue", SERVICE, account, terms, "payload", List.of(steps), Job.Schedule.NOW, millis);
    }

    void submit(Job job) {
        pool.submit(job, now());
        schedulePass();
    }

    /** Advances the clock and runs a scheduling pass. */
    void advance(long elapsedMillis) {
        millis += elapsedMillis;
        schedulePass();
    }

    /** Runs a scheduling pass every {@value #PASS_INTERVAL_MILLIS} milliseconds for {@code elapsedMillis}. */
    void pass(int elapsedMillis) {
        for (int elapsed = 0; elapsed < elapsedMillis; elapsed += PASS_INTERVAL_MILLIS) {
            advance(PASS_INTERVAL_MILLIS);
        }
    }

    /** Returns the starts of tasks of {@code job} so far. */
    List<TargetCommand.Start> startsOf(String job) {
        return starts.stream().filter(start -> start.task().job().equals(job)).toList();
    }

    /** Runs a scheduling pass, persists its batch and confirms its starts. */
    void schedulePass() {
        pool.schedule(now());
        for (TargetCommand.Stop stop : pool.takeStops()) {
            stops.add(stop);
        }
        Batch batch = pool.takeBatch();
        batch.records().forEach(record -> persisted.put(record.id(), record));
        for (TargetCommand.Start start : batch.starts()) {
            starts.add(start);
            running.put(start.task(), start);
            pool.handleStarted(start, now());
        }
    }

    /** Reports the end of each run that was told to stop, and runs a scheduling pass. */
    void completeStops() {
        List<TargetCommand.Stop> pending = List.copyOf(stops);
        stops.clear();
        pending.forEach(stop -> endRun(stop.task(), TargetReport.EndReason.STOPPED));
        schedulePass();
    }

    /** Reports the end of a run and runs a scheduling pass. Has no effect if the task is not running. */
    void endRun(TaskId task, TargetReport.EndReason reason) {
        TargetCommand.Start start = running.remove(task);
        if (start == null) {
            return;
        }
        long number = endCounts.merge(start.target(), 1L, Long::sum);
        report(start.target(), new TargetReport.Ended(number, task, start.run(), reason, ""));
        schedulePass();
    }

    void report(String target, TargetReport.Ended... ended) {
        millis++;
        long requestNanos = now().monotonicNanos();
        millis++;
        pool.handleReport(
                new TargetReport(
                        target, incarnations.get(target), requestNanos, runningOn(target), List.of(ended), true),
                now());
    }

    /** Handles a report that lists no runs and, unless it is complete, may lack ends. */
    void reportNothing(String target, boolean complete) {
        millis++;
        long requestNanos = now().monotonicNanos();
        millis++;
        pool.handleReport(
                new TargetReport(target, incarnations.get(target), requestNanos, List.of(), List.of(), complete),
                now());
    }

    /** Reports a single run as {@code percent} done. */
    void reportProgress(TargetCommand.Start start, int percent) {
        TargetReport.Running run = new TargetReport.Running(start.task(), start.run(), "", percent);
        pool.handleReport(
                new TargetReport(start.target(), 1, now().monotonicNanos(), List.of(run), List.of(), true), now());
    }

    /** Restarts a target under its id, which ends its runs without a report. */
    void restartTarget(String target, String rack) {
        long incarnation = incarnations.merge(target, 1L, Long::sum);
        running.values().removeIf(start -> start.target().equals(target));
        endCounts.remove(target);
        pool.register(new TargetInfo(
                target, SERVICE, "address", "dc", rack, Set.of("a", rack), TARGET_CAPACITY, false, 0, incarnation));
    }

    private List<TargetReport.Running> runningOn(String target) {
        return running.values().stream()
                .filter(start -> start.target().equals(target))
                .map(start -> new TargetReport.Running(start.task(), start.run(), "", (int) (millis % 100)))
                .toList();
    }

    static TaskId taskId(String job, int index) {
        return new TaskId(job, 0, 0, index);
    }
}
