package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;

/**
 * An in-memory target that runs what it is told to start, and rejects a run that is not higher than one stopped before.
 * Commands can be lost.
 */
final class MemoryTarget implements TargetCalls {
    private final Map<TaskId, Integer> running = new HashMap<>();
    private final Map<TaskId, Integer> stopped = new HashMap<>();
    private final List<TargetReport.Ended> ended = new ArrayList<>();
    private long incarnation = 1;

    /** How many of the next stop commands are lost. */
    volatile int stopsToLose;

    /** How many of the next start commands throw before they arrive. */
    volatile int startsToThrow;

    /** How many of the next start commands are carried out without an answer. */
    volatile int startAnswersToLose;

    /** Whether start commands are refused without effect, as by an unhealthy target. */
    volatile boolean refusesStarts;

    /** How many start commands were refused so. */
    volatile int refusedStarts;

    /** Whether no call is answered or carried out. */
    volatile boolean silent;

    /** Called with each report that renews the lease. */
    volatile Runnable onLease = () -> {};

    /** Whether runs end as done as soon as they have started. */
    volatile boolean endsAtOnce;

    /** How many ended runs are reported at a time. */
    volatile int endsPerReport = Integer.MAX_VALUE;

    /** Stop commands that arrived, by task, in order. */
    final List<TaskId> stops = new CopyOnWriteArrayList<>();

    /** Tasks of all runs that were started, in order. */
    final List<TaskId> started = new CopyOnWriteArrayList<>();

    private static long clock() {
        return System.nanoTime() / Clocks.NANOS_PER_MILLI;
    }

    /** Restarts under the same id: what ran and was stopped before is forgotten. */
    synchronized void restart() {
        incarnation++;
        running.clear();
        stopped.clear();
        ended.clear();
    }

    synchronized boolean isRunning(TaskId task) {
        return running.containsKey(task);
    }

    /** Ends a run as done; has no effect if the task is not running. */
    synchronized void complete(TaskId task) {
        Integer run = running.remove(task);
        if (run != null) {
            stopped.merge(task, run, Math::max);
            ended.add(new TargetReport.Ended(ended.size() + 1, task, run, TargetReport.EndReason.DONE, ""));
        }
    }

    @Override
    public long maxLeaseMillis() {
        return 6_000;
    }

    @Override
    public synchronized CommandReply start(Endpoint address, StartRequest request, long timeoutMillis) {
        if (silent) {
            return new NoAnswer("silent");
        }
        if (startsToThrow > 0) {
            startsToThrow--;
            throw new IllegalArgumentException("unsupported URI");
        }
        if (refusesStarts) {
            refusedStarts++;
            return new Refused(RefusalReason.UNHEALTHY, OptionalLong.empty());
        }
        if (stopped.getOrDefault(request.task(), 0) >= request.run()) {
            return new Refused(RefusalReason.OLD_RUN, OptionalLong.of(clock()));
        }
        if (!Integer.valueOf(request.run()).equals(running.put(request.task(), request.run()))) {
            started.add(request.task());
        }
        if (endsAtOnce) {
            complete(request.task());
        }
        if (startAnswersToLose > 0) {
            startAnswersToLose--;
            return new NoAnswer("lost");
        }
        return new Done(clock());
    }

    @Override
    public synchronized CommandReply stop(Endpoint address, TaskId task, int run, long fence, long timeoutMillis) {
        if (silent) {
            return new NoAnswer("silent");
        }
        if (stopsToLose > 0) {
            stopsToLose--;
            return new NoAnswer("lost");
        }
        stops.add(task);
        stopped.merge(task, run, Math::max);
        if (running.remove(task, run)) {
            ended.add(new TargetReport.Ended(ended.size() + 1, task, run, TargetReport.EndReason.STOPPED, ""));
        }
        return new Done(clock());
    }

    @Override
    public ReportReply report(Endpoint address, ReportRequest request, long timeoutMillis) {
        long requestNanos = System.nanoTime();
        Clocks.sleep(5);
        if (silent) {
            return new NoAnswer("silent");
        }
        if (request.leaseEndMillis().isPresent()) {
            onLease.run();
        }
        synchronized (this) {
            List<TargetReport.Running> runs = new ArrayList<>();
            running.forEach((task, run) -> runs.add(new TargetReport.Running(task, run, "", 0)));
            List<TargetReport.Ended> unacknowledged = ended.stream()
                    .filter(end -> end.number() > request.acknowledged())
                    .toList();
            boolean complete = unacknowledged.size() < endsPerReport;
            List<TargetReport.Ended> listed = complete ? unacknowledged : unacknowledged.subList(0, endsPerReport);
            TargetReport report = new TargetReport(address.id(), incarnation, requestNanos, runs, listed, complete);
            return new Reported(clock(), report);
        }
    }
}
