package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;

/**
 * In-memory targets that crash and come back under their ids as targets of another kind. A call that is in progress as
 * its target crashes gets no answer and is not carried out later, as its connection ends. Records each start of a task
 * on a target of another kind than that with which the id of its job begins.
 */
final class ChangingFleet implements TargetCalls {
    private static final long MAX_LEASE_MILLIS = 6_000;
    private static final int MAX_DELAY_MILLIS = 4;
    private static final int MIN_RUN_MILLIS = 10;
    private static final int MAX_RUN_MILLIS = 80;
    private static final int MAX_CLOCK_MILLIS = 9_000_000;

    /** Starts on a target of another kind. */
    final List<String> misplaced = new CopyOnWriteArrayList<>();

    /** How many runs were started. */
    volatile int started;

    private final Map<String, Life> lives = new HashMap<>();
    private final Random random;

    ChangingFleet(long seed) {
        random = new Random(seed);
    }

    private record Run(int number, long endMillis) {}

    /** One incarnation of a target. */
    private final class Life {
        final long incarnation;
        final String kind;
        final long clockOffsetMillis = random.nextInt(MAX_CLOCK_MILLIS);
        final Map<TaskId, Run> running = new HashMap<>();
        final Map<TaskId, Integer> over = new HashMap<>();
        final List<TargetReport.Ended> ended = new ArrayList<>();
        boolean crashed;
        long endCount;
        long fence;
        long leaseEndMillis;

        Life(long incarnation, String kind) {
            this.incarnation = incarnation;
            this.kind = kind;
        }

        long clock() {
            return System.nanoTime() / Clocks.NANOS_PER_MILLI + clockOffsetMillis;
        }

        void end(TaskId task, TargetReport.EndReason reason) {
            int run = running.remove(task).number();
            over.merge(task, run, Math::max);
            ended.add(new TargetReport.Ended(++endCount, task, run, reason, ""));
        }

        void update() {
            long now = clock();
            for (TaskId task : List.copyOf(running.keySet())) {
                if (now > leaseEndMillis) {
                    end(task, TargetReport.EndReason.LAPSED);
                } else if (now >= running.get(task).endMillis()) {
                    end(task, TargetReport.EndReason.DONE);
                }
            }
        }

        void extendLease(long untilMillis) {
            leaseEndMillis = Math.max(leaseEndMillis, Math.min(untilMillis, clock() + MAX_LEASE_MILLIS));
        }

        Refused refused(RefusalReason reason) {
            return new Refused(reason, OptionalLong.of(clock()));
        }
    }

    /** Starts a target, as one of {@code kind}; returns its incarnation. */
    synchronized long start(String id, String kind) {
        Life former = lives.get(id);
        Life life = new Life(former == null ? 1 : former.incarnation + 1, kind);
        lives.put(id, life);
        return life.incarnation;
    }

    /** Lets a target crash; it answers nothing until it starts again. */
    synchronized void crash(String id) {
        lives.get(id).crashed = true;
    }

    private synchronized Life find(String id) {
        return lives.get(id);
    }

    private synchronized int drawDelayMillis() {
        return random.nextInt(MAX_DELAY_MILLIS);
    }

    private <T> T exchange(String id, Function<Life, T> call, T noAnswer) {
        Life life = find(id);
        Clocks.sleep(drawDelayMillis());
        T reply;
        synchronized (this) {
            reply = life.crashed ? noAnswer : call.apply(life);
        }
        Clocks.sleep(drawDelayMillis());
        synchronized (this) {
            return life.crashed ? noAnswer : reply;
        }
    }

    @Override
    public long maxLeaseMillis() {
        return MAX_LEASE_MILLIS;
    }

    @Override
    public CommandReply start(Endpoint target, StartRequest request, long timeoutMillis) {
        return exchange(target.id(), life -> carryOut(life, target.id(), request), new NoAnswer("crashed"));
    }

    private CommandReply carryOut(Life life, String id, StartRequest request) {
        life.update();
        if (request.fence() < life.fence) {
            return life.refused(RefusalReason.FENCE);
        }
        life.fence = request.fence();
        if (request.leaseEndMillis() < life.clock()) {
            return life.refused(RefusalReason.LATE);
        }
        life.extendLease(request.leaseEndMillis());
        TaskId task = request.task();
        if (life.over.getOrDefault(task, 0) >= request.run()) {
            return life.refused(RefusalReason.OLD_RUN);
        }
        if (!life.running.containsKey(task)) {
            if (!task.job().startsWith(life.kind)) {
                misplaced.add(task + " run " + request.run() + " on " + id + " of kind " + life.kind);
            }
            started++;
            long millis = MIN_RUN_MILLIS + random.nextInt(MAX_RUN_MILLIS - MIN_RUN_MILLIS);
            life.running.put(task, new Run(request.run(), life.clock() + millis));
        }
        return new Done(life.clock());
    }

    @Override
    public CommandReply stop(Endpoint target, TaskId task, int run, long fence, long timeoutMillis) {
        return exchange(target.id(), life -> carryOutStop(life, task, run, fence), new NoAnswer("crashed"));
    }

    private CommandReply carryOutStop(Life life, TaskId task, int run, long fence) {
        life.update();
        if (fence < life.fence) {
            return life.refused(RefusalReason.FENCE);
        }
        life.fence = fence;
        life.over.merge(task, run, Math::max);
        if (life.running.containsKey(task) && life.running.get(task).number() <= run) {
            life.end(task, TargetReport.EndReason.STOPPED);
        }
        return new Done(life.clock());
    }

    @Override
    public ReportReply report(Endpoint target, ReportRequest request, long timeoutMillis) {
        long requestNanos = System.nanoTime();
        return exchange(
                target.id(), life -> takeReport(life, target.id(), request, requestNanos), new NoAnswer("crashed"));
    }

    private ReportReply takeReport(Life life, String id, ReportRequest request, long requestNanos) {
        life.update();
        if (request.fence() < life.fence) {
            return life.refused(RefusalReason.FENCE);
        }
        life.fence = request.fence();
        request.leaseEndMillis().ifPresent(life::extendLease);
        life.ended.removeIf(end -> end.number() <= request.acknowledged());
        List<TargetReport.Running> runs = new ArrayList<>();
        life.running.forEach((task, run) -> runs.add(new TargetReport.Running(task, run.number(), "", 0)));
        TargetReport report = new TargetReport(id, life.incarnation, requestNanos, runs, life.ended, true);
        return new Reported(life.clock(), report);
    }
}
