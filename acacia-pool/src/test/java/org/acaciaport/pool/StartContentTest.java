package org.acaciaport.pool;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests, for random sequences of events, that each start is of a task that its job has, while the job is not cancelled,
 * with the payload of the job and a checkpoint of that task.
 *
 * <p>Commands are lost or delayed, targets restart, runs end for any reason, and leaders take over from the persisted
 * records. The checkpoint of a run names its task, or its step if that is a gang.
 */
final class StartContentTest {
    private static final int SEEDS = 20;
    private static final int EVENTS = 1_500;
    private static final int TARGETS = 4;
    private static final int PASS_MILLIS = 20;

    private final Map<String, Job> submitted = new LinkedHashMap<>();
    private final Set<String> cancelled = new HashSet<>();
    private final Map<String, JobProgress> persisted = new HashMap<>();
    private final List<MemoryTarget> targets = new ArrayList<>();
    private final List<TargetCommand.Start> pendingStarts = new ArrayList<>();
    private SplittableRandom random = new SplittableRandom();
    private Pool pool = new Pool();
    private long millis = 1_000_000;
    private int checkpoints;
    private int startsWithCheckpoint;
    private int takeovers;

    /** The runs on one target and the ends that it has yet to report. */
    private static final class MemoryTarget {
        final String id;
        final Map<TaskId, TargetReport.Running> running = new LinkedHashMap<>();
        final Map<TaskId, Integer> highestEnded = new HashMap<>();
        final List<TargetReport.Ended> ended = new ArrayList<>();
        long incarnation = 1;

        MemoryTarget(String id) {
            this.id = id;
        }

        void end(TaskId task, TargetReport.EndReason reason) {
            TargetReport.Running run = running.remove(task);
            highestEnded.merge(task, run.run(), Math::max);
            long number = ended.isEmpty() ? 1 : ended.get(ended.size() - 1).number() + 1;
            ended.add(new TargetReport.Ended(number, task, run.run(), reason, run.checkpoint()));
        }
    }

    @Test
    void everyStartHasTheContentOfItsTask() {
        int withCheckpoint = 0;
        int takeoverCount = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            StartContentTest run = new StartContentTest();
            run.play(seed);
            withCheckpoint += run.startsWithCheckpoint;
            takeoverCount += run.takeovers;
        }
        assertThat(withCheckpoint).isGreaterThan(SEEDS);
        assertThat(takeoverCount).isGreaterThan(SEEDS);
    }

    private void play(int seed) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < TARGETS; i++) {
            targets.add(new MemoryTarget("t" + i));
        }
        prepare();
        for (int i = 0; i < EVENTS; i++) {
            millis += random.nextInt(PASS_MILLIS);
            playEvent(seed);
        }
    }

    private void playEvent(int seed) {
        MemoryTarget target = targets.get(random.nextInt(TARGETS));
        switch (random.nextInt(40)) {
            case 0, 1 -> submit();
            case 2 -> cancel();
            case 3 -> restart(target);
            case 4 -> takeOver();
            case 5, 6, 7 -> endRun(target);
            case 8, 9, 10, 11, 12 -> saveCheckpoint(target);
            case 13, 14, 15, 16, 17, 18, 19, 20 -> report(target);
            case 21, 22, 23, 24, 25, 26, 27 -> deliverStart();
            default -> schedule(seed);
        }
    }

    private ClockReading now() {
        return new ClockReading(millis * 1_000_000, millis);
    }

    /** Registers all targets with the pool, which then gets a report of each. */
    private void prepare() {
        pool.configure(new PoolSettings(Map.of(), Set.of(), Map.of()));
        targets.forEach(this::register);
        targets.forEach(this::report);
    }

    private void register(MemoryTarget target) {
        pool.register(new TargetInfo(
                target.id,
                PoolFixture.SERVICE,
                "address",
                "dc",
                "r1",
                Set.of(),
                PoolFixture.TARGET_CAPACITY,
                false,
                0,
                target.incarnation));
    }

    private void submit() {
        String id = "job" + submitted.size();
        List<Step> steps = new ArrayList<>();
        int count = 1 + random.nextInt(2);
        for (int i = 0; i < count; i++) {
            Step.Mode mode = new Step.Mode(random.nextBoolean(), true, false, false, false, 0);
            List<Integer> after = i == 0 ? List.of() : List.of(i - 1);
            Resources demand = new Resources(1_000, 1_000, 1 + random.nextInt(4));
            steps.add(new Step(1 + random.nextInt(3), demand, 5_000, after, Step.Constraints.NONE, mode));
        }
        int times = random.nextInt(3);
        Job.Schedule schedule = times == 0 ? Job.Schedule.NOW : new Job.Schedule(times, millis, 500);
        Job.Terms terms = new Job.Terms(random.nextInt(2), 3, 3.0, 1_000);
        Job job = new Job(
                id, "queue", PoolFixture.SERVICE, "account", terms, "payload of " + id, steps, schedule, millis);
        submitted.put(id, job);
        pool.submit(job, now());
    }

    private void cancel() {
        if (submitted.isEmpty()) {
            return;
        }
        String id = "job" + random.nextInt(submitted.size());
        cancelled.add(id);
        pool.cancel(id, now());
    }

    /** Restarts a target, which forgets all. Its registration and its reports are read later. */
    private void restart(MemoryTarget target) {
        target.incarnation++;
        target.running.clear();
        target.highestEnded.clear();
        target.ended.clear();
        register(target);
    }

    /** Begins a term with the persisted records; starts that the earlier term has not sent are dropped. */
    private void takeOver() {
        takeovers++;
        pendingStarts.clear();
        pool = new Pool();
        for (Job job : submitted.values()) {
            JobProgress progress = persisted.get(job.id());
            if (progress == null) {
                pool.submit(job, now());
            } else {
                pool.restore(job, progress, now());
            }
        }
        cancelled.forEach(id -> pool.cancel(id, now()));
        prepare();
    }

    private TaskId anyRun(MemoryTarget target) {
        List<TaskId> tasks = List.copyOf(target.running.keySet());
        return tasks.isEmpty() ? null : tasks.get(random.nextInt(tasks.size()));
    }

    private void endRun(MemoryTarget target) {
        TaskId task = anyRun(target);
        if (task != null) {
            TargetReport.EndReason[] reasons = TargetReport.EndReason.values();
            target.end(task, reasons[random.nextInt(reasons.length)]);
        }
    }

    private void saveCheckpoint(MemoryTarget target) {
        TaskId task = anyRun(target);
        if (task != null) {
            checkpoints++;
            int run = target.running.get(task).run();
            String checkpoint = checkpointOwner(task) + "#" + checkpoints;
            target.running.put(task, new TargetReport.Running(task, run, checkpoint, random.nextInt(100)));
        }
    }

    /** Returns what the checkpoints of a task name. */
    private String checkpointOwner(TaskId task) {
        boolean gang = submitted.get(task.job()).steps().get(task.step()).mode().gang();
        return gang ? task.job() + "." + task.occurrence() + "." + task.step() : task.toString();
    }

    private void report(MemoryTarget target) {
        long requestNanos = now().monotonicNanos();
        millis++;
        List<TargetReport.Running> runs = List.copyOf(target.running.values());
        pool.handleReport(
                new TargetReport(target.id, target.incarnation, requestNanos, runs, target.ended, true), now());
    }

    /** Delivers one pending start, in any order, as the session does: only to the incarnation that it is meant for. */
    private void deliverStart() {
        if (pendingStarts.isEmpty()) {
            return;
        }
        TargetCommand.Start start = pendingStarts.remove(random.nextInt(pendingStarts.size()));
        MemoryTarget target = targets.get(Integer.parseInt(start.target().substring(1)));
        boolean refused = target.incarnation != start.incarnation()
                || target.highestEnded.getOrDefault(start.task(), 0) >= start.run();
        if (refused || random.nextInt(4) == 0) {
            pool.handleStartFailure(start, "refused", 0, now());
            return;
        }
        target.running.put(start.task(), new TargetReport.Running(start.task(), start.run(), start.checkpoint(), 0));
        pool.handleStarted(start, now());
    }

    private void schedule(int seed) {
        pool.schedule(now());
        for (TargetCommand.Stop stop : pool.takeStops()) {
            if (random.nextInt(3) > 0) {
                stop(stop);
            }
        }
        Batch batch = pool.takeBatch();
        batch.records().forEach(progress -> persisted.put(progress.id(), progress));
        batch.acknowledgements().forEach((id, acknowledgement) -> {
            MemoryTarget target = targets.get(Integer.parseInt(id.substring(1)));
            if (acknowledgement.incarnation() == target.incarnation) {
                target.ended.removeIf(end -> end.number() < acknowledgement.upTo());
            }
        });
        Map<String, String> checkpointsOfGangs = new HashMap<>();
        for (TargetCommand.Start start : batch.starts()) {
            check(start, checkpointsOfGangs, "seed " + seed + " " + start);
            pendingStarts.add(start);
        }
    }

    private void stop(TargetCommand.Stop stop) {
        MemoryTarget target = targets.get(Integer.parseInt(stop.target().substring(1)));
        TargetReport.Running run = target.running.get(stop.task());
        if (run != null && run.run() == stop.run()) {
            target.end(stop.task(), TargetReport.EndReason.STOPPED);
        }
        target.highestEnded.merge(stop.task(), stop.run(), Math::max);
    }

    private void check(TargetCommand.Start start, Map<String, String> checkpointsOfGangs, String message) {
        TaskId task = start.task();
        Job job = submitted.get(task.job());
        assertWithMessage(message).that(job).isNotNull();
        assertWithMessage(message).that(task.occurrence()).isLessThan(job.occurrenceCount());
        assertWithMessage(message).that(task.step()).isLessThan(job.steps().size());
        Step step = job.steps().get(task.step());
        assertWithMessage(message).that(task.index()).isLessThan(step.count());
        assertWithMessage(message).that(start.payload()).isEqualTo(job.payload());
        assertWithMessage(message).that(cancelled).doesNotContain(job.id());
        if (!start.checkpoint().isEmpty()) {
            startsWithCheckpoint++;
            assertWithMessage(message).that(start.checkpoint()).startsWith(checkpointOwner(task) + "#");
        }
        if (step.mode().gang()) {
            String earlier = checkpointsOfGangs.putIfAbsent(checkpointOwner(task), start.checkpoint());
            assertWithMessage(message)
                    .that(earlier == null ? start.checkpoint() : earlier)
                    .isEqualTo(start.checkpoint());
        }
    }
}
