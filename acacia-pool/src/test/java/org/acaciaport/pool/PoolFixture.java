package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A pool with targets of 8 accelerators and 32 cores in virtual time. What the pool wants is made durable at once; the
 * targets do as told, and tests say when runs end.
 */
final class PoolFixture {
    static final String SERVICE = "render";
    static final Resources TARGET = new Resources(32_000, 64_000, 8);

    final Pool pool = new Pool();
    final Map<TaskId, TargetCommand.Start> running = new HashMap<>();
    final List<TargetCommand.Start> starts = new ArrayList<>();
    final List<TargetCommand.Stop> stops = new ArrayList<>();
    final Map<String, JobProgress> durable = new HashMap<>();
    private final Map<String, Long> endCounts = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private long millis = 1_000_000;

    ClockReading now() {
        return new ClockReading(millis * 1_000_000, millis);
    }

    /** Adds a target and lets it report once. */
    void addTarget(String id, String rack) {
        incarnations.put(id, 1L);
        pool.register(new TargetInfo(id, SERVICE, "address", "zone", rack, Set.of("a", rack), TARGET, false, 0, 1));
        report(id);
    }

    void drainTarget(String id, String rack, long leavesNanos) {
        pool.register(
                new TargetInfo(id, SERVICE, "address", "zone", rack, Set.of("a", rack), TARGET, true, leavesNanos, 1));
    }

    void setGuarantee(String account, long accelerators) {
        pool.configure(new PoolSettings(Map.of(account, accelerators), Set.of(), Set.of(SERVICE)));
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
        pool.submit(job);
        schedulePass();
    }

    /** Lets time pass and the pool decide. */
    void advance(long elapsedMillis) {
        millis += elapsedMillis;
        schedulePass();
    }

    /** Decides, makes durable, and lets the targets confirm starts. */
    void schedulePass() {
        pool.schedule(now());
        for (TargetCommand.Stop stop : pool.takeStops()) {
            stops.add(stop);
        }
        Batch batch = pool.takeBatch();
        batch.records().forEach(record -> durable.put(record.id(), record));
        for (TargetCommand.Start start : batch.starts()) {
            starts.add(start);
            running.put(start.task(), start);
            pool.handleStarted(start, now());
        }
    }

    /** The target lists the end of every run that was told to stop. */
    void completeStops() {
        List<TargetCommand.Stop> pending = List.copyOf(stops);
        stops.clear();
        pending.forEach(stop -> endRun(stop.task(), TargetReport.EndReason.STOPPED));
        schedulePass();
    }

    /** A running task ends. */
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
                new TargetReport(target, incarnations.get(target), requestNanos, runningOn(target), List.of(ended)),
                now());
    }

    /** A target reports one run, {@code percent} done. */
    void reportProgress(TargetCommand.Start start, int percent) {
        TargetReport.Running run = new TargetReport.Running(start.task(), start.run(), "", percent);
        pool.handleReport(new TargetReport(start.target(), 1, now().monotonicNanos(), List.of(run), List.of()), now());
    }

    /** The target starts again under its id, with nothing running. */
    void restartTarget(String target, String rack) {
        long incarnation = incarnations.merge(target, 1L, Long::sum);
        running.values().removeIf(start -> start.target().equals(target));
        endCounts.remove(target);
        pool.register(new TargetInfo(
                target, SERVICE, "address", "zone", rack, Set.of("a", rack), TARGET, false, 0, incarnation));
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
