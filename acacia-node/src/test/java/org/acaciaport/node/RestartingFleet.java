package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;

/**
 * In-memory targets that restart under their ids. Calls are delayed on their way, and are then carried out by the
 * incarnation that they find; some answers are delayed or lost. Records each run that begins while another one of its
 * task is in progress.
 */
final class RestartingFleet implements TargetCalls {
    private static final long MAX_LEASE_MILLIS = 6_000;

    /** How long most calls are on their way at most, in milliseconds. */
    private static final int USUAL_DELAY_MILLIS = 4;

    /** How long the others are on their way at most, in milliseconds. */
    private static final int LONG_DELAY_MILLIS = 120;

    private static final double LONG_DELAY_SHARE = 0.15;
    private static final double LOST_ANSWER_SHARE = 0.03;

    /** Share of the starts during which the target restarts, if it may. Until one is carried out by the next, all. */
    private static final double RESTART_SHARE = 0.1;

    /** Shortest time between two restarts of a target, in milliseconds. */
    private static final int MIN_LIFE_MILLIS = 300;

    private static final int MIN_RUN_MILLIS = 100;
    private static final int MAX_RUN_MILLIS = 600;
    private static final int MAX_CLOCK_MILLIS = 9_000_000;

    /** Runs that began while another run of their task was in progress. */
    final List<String> overlaps = new CopyOnWriteArrayList<>();

    /** How many starts were carried out by another incarnation than the one that they found at their sending. */
    volatile int startsInNextIncarnation;

    private final Map<String, Life> lives = new HashMap<>();
    private final Random random;
    private final BiConsumer<String, Long> register;

    /** Whether calls are delayed and answers lost. */
    private volatile boolean faulty = true;

    /**
     * Creates a fleet without targets.
     *
     * @param register called with the id and the incarnation of a target that has started
     */
    RestartingFleet(long seed, BiConsumer<String, Long> register) {
        random = new Random(seed);
        this.register = register;
    }

    /** A run in progress. */
    private record Run(int number, long endMillis) {}

    /** One incarnation of a target. */
    private final class Life {
        final long incarnation;
        final long bornNanos = System.nanoTime();
        final long clockOffsetMillis = random.nextInt(MAX_CLOCK_MILLIS);
        final Map<TaskId, Run> running = new HashMap<>();
        final Map<TaskId, Integer> over = new HashMap<>();
        final List<TargetReport.Ended> ended = new ArrayList<>();
        long endCount;
        /** Starts that were sent to this incarnation and have not arrived. */
        int startsOnTheirWay;

        /** Starts that were sent to the former incarnation and have not arrived. */
        int earlierStartsOnTheirWay;

        long fence;
        long leaseEndMillis;

        /** When the target answers again, on its clock, in milliseconds. */
        long silentUntilMillis;

        Life(long incarnation) {
            this.incarnation = incarnation;
        }

        long clock() {
            return System.nanoTime() / Clocks.NANOS_PER_MILLI + clockOffsetMillis;
        }

        void end(TaskId task, TargetReport.EndReason reason) {
            int run = running.remove(task).number();
            over.merge(task, run, Math::max);
            ended.add(new TargetReport.Ended(++endCount, task, run, reason, ""));
        }

        /** Ends the runs that are done by now, and all if the lease has expired. */
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
    }

    /** Adds a target. */
    synchronized void add(String id) {
        lives.put(id, new Life(1));
        register.accept(id, 1L);
    }

    /**
     * Restarts a target if that is due. A start that outlasts a whole incarnation cannot be told from those of the
     * next, so there is no restart before all of the former incarnation have arrived.
     */
    private synchronized void restartIfDue(String id) {
        Life former = lives.get(id);
        long ageMillis = (System.nanoTime() - former.bornNanos) / Clocks.NANOS_PER_MILLI;
        boolean mayRestart = faulty && ageMillis >= MIN_LIFE_MILLIS && former.earlierStartsOnTheirWay == 0;
        if (mayRestart && (startsInNextIncarnation == 0 || random.nextDouble() < RESTART_SHARE)) {
            Life next = new Life(former.incarnation + 1);
            next.earlierStartsOnTheirWay = former.startsOnTheirWay;
            lives.put(id, next);
            register.accept(id, former.incarnation + 1);
        }
    }

    /** Lets a target answer nothing for {@code millis} milliseconds. */
    synchronized void silence(String id, long millis) {
        Life life = lives.get(id);
        life.silentUntilMillis = life.clock() + millis;
    }

    /** Lets all calls arrive and be answered at once from now on. */
    void calm() {
        faulty = false;
    }

    private synchronized int drawDelayMillis() {
        boolean usual = random.nextDouble() >= LONG_DELAY_SHARE;
        return faulty ? random.nextInt(usual ? USUAL_DELAY_MILLIS : LONG_DELAY_MILLIS) : 0;
    }

    private synchronized boolean losesAnswer(String id) {
        Life life = lives.get(id);
        return faulty && (life.clock() < life.silentUntilMillis || random.nextDouble() < LOST_ANSWER_SHARE);
    }

    /** Records that a start is on its way; returns the incarnation that it was sent to. */
    private synchronized long send(String id) {
        Life life = lives.get(id);
        life.startsOnTheirWay++;
        return life.incarnation;
    }

    private <T> T exchange(String id, Supplier<T> call, T noAnswer) {
        Clocks.sleep(drawDelayMillis());
        T reply = call.get();
        Clocks.sleep(drawDelayMillis());
        return losesAnswer(id) ? noAnswer : reply;
    }

    @Override
    public long maxLeaseMillis() {
        return MAX_LEASE_MILLIS;
    }

    @Override
    public CommandReply start(Endpoint target, StartRequest request, long timeoutMillis) {
        long incarnation = send(target.id());
        restartIfDue(target.id());
        return exchange(target.id(), () -> carryOut(target.id(), incarnation, request), new NoAnswer("lost"));
    }

    private synchronized CommandReply carryOut(String id, long incarnation, StartRequest request) {
        Life life = lives.get(id);
        if (life.incarnation == incarnation) {
            life.startsOnTheirWay--;
        } else {
            life.earlierStartsOnTheirWay--;
        }
        life.update();
        if (request.fence() < life.fence) {
            return refused(RefusalReason.FENCE, life);
        }
        life.fence = request.fence();
        if (request.leaseEndMillis() < life.clock()) {
            return refused(RefusalReason.LATE, life);
        }
        life.extendLease(request.leaseEndMillis());
        TaskId task = request.task();
        if (life.over.getOrDefault(task, 0) >= request.run()) {
            return refused(RefusalReason.OLD_RUN, life);
        }
        if (life.running.containsKey(task)) {
            return new Done(life.clock());
        }
        startsInNextIncarnation += life.incarnation == incarnation ? 0 : 1;
        recordOverlap(task, request.run(), id);
        long millis = MIN_RUN_MILLIS + random.nextInt(MAX_RUN_MILLIS - MIN_RUN_MILLIS);
        life.running.put(task, new Run(request.run(), life.clock() + millis));
        return new Done(life.clock());
    }

    private static Refused refused(RefusalReason reason, Life life) {
        return new Refused(reason, OptionalLong.of(life.clock()));
    }

    private void recordOverlap(TaskId task, int run, String id) {
        lives.forEach((other, life) -> {
            life.update();
            if (life.running.containsKey(task)) {
                overlaps.add(task + " run " + run + " on " + id + " beside run "
                        + life.running.get(task).number() + " on " + other);
            }
        });
    }

    @Override
    public CommandReply stop(Endpoint target, TaskId task, int run, long fence, long timeoutMillis) {
        return exchange(target.id(), () -> carryOutStop(target.id(), task, run, fence), new NoAnswer("lost"));
    }

    private synchronized CommandReply carryOutStop(String id, TaskId task, int run, long fence) {
        Life life = lives.get(id);
        life.update();
        if (fence < life.fence) {
            return refused(RefusalReason.FENCE, life);
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
        return exchange(target.id(), () -> takeReport(target.id(), request, requestNanos), new NoAnswer("lost"));
    }

    private synchronized ReportReply takeReport(String id, ReportRequest request, long requestNanos) {
        Life life = lives.get(id);
        life.update();
        if (request.fence() < life.fence) {
            return refused(RefusalReason.FENCE, life);
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
