package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciaport.pool.TargetReport;
import org.acaciaport.pool.TaskId;

/**
 * An in-memory target that restarts under its id: each incarnation has a clock of its own and has seen no fencing
 * token. Calls can be held back on their way, and are then carried out by the incarnation that they find.
 */
final class RestartingTarget implements TargetCalls {
    private static final long TIMEOUT_SECONDS = 20;

    private final Map<TaskId, Integer> running = new HashMap<>();
    private final List<TargetReport.Ended> ended = new ArrayList<>();
    private long incarnation = 1;
    private long clockOffsetMillis;
    private long fence;

    /** Holds back start commands before they are carried out, if not null. */
    volatile CountDownLatch startsOnTheirWay;

    /** Holds back the answers to start commands, if not null. */
    volatile CountDownLatch answersOnTheirWay;

    /** Holds back requests for reports before they are carried out, if not null. */
    volatile CountDownLatch reportsOnTheirWay;

    /** How many start commands have been sent. */
    final AtomicInteger startsSent = new AtomicInteger();

    /** How many requests for reports have been sent. */
    final AtomicInteger reports = new AtomicInteger();

    /** How many requests for reports are held back. */
    volatile int reportsHeldBack;

    /** Whether requests for reports are lost. */
    volatile boolean silent;

    /** What the first request for a report to this incarnation acknowledged; -1 if there was none. */
    volatile long firstAcknowledged = -1;

    /** Restarts with a clock that is ahead of that of the first incarnation by {@code offsetMillis}. */
    synchronized void restart(long offsetMillis) {
        incarnation++;
        clockOffsetMillis = offsetMillis;
        fence = 0;
        firstAcknowledged = -1;
        running.clear();
        ended.clear();
    }

    synchronized boolean isRunning(TaskId task) {
        return running.containsKey(task);
    }

    /** Ends a run as done. */
    synchronized void complete(TaskId task) {
        int run = running.remove(task);
        ended.add(new TargetReport.Ended(ended.size() + 1, task, run, TargetReport.EndReason.DONE, ""));
    }

    private long clock() {
        return System.nanoTime() / Clocks.NANOS_PER_MILLI + clockOffsetMillis;
    }

    private static void await(CountDownLatch latch) {
        try {
            if (latch != null && !latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError("call held back for too long");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public long maxLeaseMillis() {
        return 6_000;
    }

    @Override
    public CommandReply start(Endpoint address, StartRequest request, long timeoutMillis) {
        startsSent.incrementAndGet();
        await(startsOnTheirWay);
        CommandReply reply = carryOut(request);
        await(answersOnTheirWay);
        return reply;
    }

    private synchronized CommandReply carryOut(StartRequest request) {
        if (request.fence() < fence) {
            return new Refused(RefusalReason.FENCE, OptionalLong.of(clock()));
        }
        fence = request.fence();
        if (request.leaseEndMillis() < clock()) {
            return new Refused(RefusalReason.LATE, OptionalLong.of(clock()));
        }
        running.put(request.task(), request.run());
        return new Done(clock());
    }

    @Override
    public CommandReply stop(Endpoint address, TaskId task, int run, long token, long timeoutMillis) {
        return new Done(0);
    }

    @Override
    public ReportReply report(Endpoint address, ReportRequest request, long timeoutMillis) {
        long requestNanos = System.nanoTime();
        reports.incrementAndGet();
        Clocks.sleep(5);
        if (silent) {
            return new NoAnswer("silent");
        }
        CountDownLatch latch = reportsOnTheirWay;
        if (latch != null) {
            reportsHeldBack++;
            await(latch);
        }
        return takeReport(address.id(), request, requestNanos);
    }

    private synchronized ReportReply takeReport(String id, ReportRequest request, long requestNanos) {
        if (request.fence() < fence) {
            return new Refused(RefusalReason.FENCE, OptionalLong.of(clock()));
        }
        fence = request.fence();
        if (firstAcknowledged < 0) {
            firstAcknowledged = request.acknowledged();
        }
        List<TargetReport.Running> runs = new ArrayList<>();
        running.forEach((task, run) -> runs.add(new TargetReport.Running(task, run, "", 0)));
        List<TargetReport.Ended> unacknowledged = ended.stream()
                .filter(end -> end.number() > request.acknowledged())
                .toList();
        return new Reported(clock(), new TargetReport(id, incarnation, requestNanos, runs, unacknowledged, true));
    }
}
