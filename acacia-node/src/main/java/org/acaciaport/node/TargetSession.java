package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.jboss.logging.Logger;

/**
 * The leader's dealings with one target: renews its lease, sends it orders, and learns what became of them.
 *
 * <p>Safe for use by several threads. Invariants: an order is sent only with this term's fence; after an order without
 * an answer the fence is raised before its outcome is judged, so that a delayed copy of it does nothing; nothing counts
 * as lapsed before the last lease that may have been granted is over on the target's own clock; a target that does not
 * answer is not asked to extend its lease, so that it lapses in the end.
 */
final class TargetSession {
    private static final Logger LOG = Logger.getLogger(TargetSession.class);

    /** How long a report waits for an end, in milliseconds. */
    private static final long REPORT_WAIT_MILLIS = 500;

    /** Longest wait for the answer to a report beyond the wait that was asked for, in milliseconds. */
    private static final long REPORT_ANSWER_MILLIS = 600;

    /** Longest wait for the answer to an order, in milliseconds; what became of it is then asked for. */
    private static final long ORDER_ANSWER_MILLIS = 300;

    /** How long to wait for the end just listed to become durable, in milliseconds. */
    private static final long DURABLE_MILLIS = 200;

    private static final long PAUSE_MILLIS = 80;

    /** Time in which a target without an answer gets no new work, in milliseconds. */
    private static final long AVOID_MILLIS = 700;

    /** Age after which an order that did not arrive is given up rather than sent again, in milliseconds. */
    private static final long RESEND_MILLIS = 1_500;

    /** What a session tells its leader. Called by the session's threads; must not block. */
    interface Events {
        /** Takes a report. */
        void reported(TargetReport report);

        /** A start was confirmed. */
        void started(TargetCommand.Start start);

        /** A start did not happen and never will. */
        void notStarted(TargetCommand.Start start, String reason, long avoidMillis);

        /** The target does not answer. */
        void silent(String target, long avoidMillis);

        /** Nothing that was sent to the target runs any more. */
        void lapsed(String target);

        /** The target has seen a later leader. */
        void deposed(String target);

        /** Returns whether the lead is sure enough to order and to renew. */
        boolean leads();
    }

    /** A start without an answer. */
    private record Uncertain(TargetCommand.Start start, long fence, long sentNanos) {}

    private final String id;
    private final TargetCalls calls;
    private final Events events;
    private final long firstFence;
    private final List<Uncertain> uncertain = new ArrayList<>();
    private TargetCalls.Endpoint address;
    private long raised;
    private long incarnation;
    private long acknowledged;
    private long listed;
    private final TargetLease lease;
    private boolean needed;
    private boolean closed;
    private boolean silent;
    private Thread thread;

    TargetSession(
            TargetCalls.Endpoint address, TargetCalls calls, Events events, long firstFence, long inheritedNanos) {
        this.id = address.id();
        this.address = address;
        this.calls = calls;
        this.events = events;
        this.firstFence = firstFence;
        lease = new TargetLease(inheritedNanos);
    }

    synchronized void address(TargetCalls.Endpoint changed) {
        address = changed;
    }

    /** Asks for reports while something may run there; a target that is not verified yet is asked at least once. */
    synchronized void need(boolean occupied) {
        needed = occupied;
        if (hasQuestions() && thread == null && !closed) {
            thread = Thread.ofVirtual().name("target-" + id).start(this::run);
        }
    }

    /** Returns whether there is something to learn from the target. */
    private boolean hasQuestions() {
        return needed || incarnation == 0 || listed > acknowledged || !uncertain.isEmpty();
    }

    /** The target announced a later life; it is asked before it gets work. */
    synchronized void verify(long announced) {
        if (announced > incarnation && incarnation != 0) {
            raised++;
            incarnation = 0;
        }
        need(needed);
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }

    /** Ends up to {@code upTo} are durable. */
    synchronized void acknowledge(long life, long upTo) {
        if (life == incarnation && upTo > acknowledged) {
            acknowledged = upTo;
            notifyAll();
            need(needed);
        }
    }

    private synchronized long fence() {
        return firstFence + raised;
    }

    private synchronized boolean goOn() {
        if (closed || !hasQuestions()) {
            thread = null;
            return false;
        }
        return true;
    }

    private void run() {
        while (goOn()) {
            if (!events.leads()) {
                Clocks.sleep(PAUSE_MILLIS);
                continue;
            }
            if (!reportOnce(waitMillis()) && !Clocks.sleep(PAUSE_MILLIS)) {
                return;
            }
            awaitDurable();
        }
    }

    private synchronized long waitMillis() {
        boolean settled = lease.known() && uncertain.isEmpty() && listed <= acknowledged && needed && !silent;
        return settled ? REPORT_WAIT_MILLIS : 0;
    }

    private synchronized void awaitDurable() {
        long deadline = Clocks.in(DURABLE_MILLIS);
        while (listed > acknowledged && !closed && Clocks.millisUntil(deadline) > 0) {
            try {
                wait(Math.max(1, Clocks.millisUntil(deadline)));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private boolean reportOnce(long waitMillis) {
        long fence = fence();
        TargetCalls.ReportRequest call;
        TargetCalls.Endpoint to;
        synchronized (this) {
            OptionalLong until = silent ? OptionalLong.empty() : lease.extend();
            call = new TargetCalls.ReportRequest(fence, acknowledged, until, waitMillis);
            to = address;
        }
        switch (calls.report(to, call, waitMillis + REPORT_ANSWER_MILLIS)) {
            case TargetCalls.Reported reported -> {
                take(reported, fence);
                return true;
            }
            case TargetCalls.Refused refused -> refused(refused, fence);
            case TargetCalls.NoAnswer none -> noAnswer(none.reason());
        }
        return false;
    }

    private void take(TargetCalls.Reported reported, long fence) {
        TargetReport report = reported.report();
        List<Uncertain> judged = new ArrayList<>();
        synchronized (this) {
            if (report.incarnation() < incarnation) {
                return;
            }
            if (report.incarnation() != incarnation) {
                incarnation = report.incarnation();
                acknowledged = 0;
                listed = 0;
                lease.reset();
            }
            lease.reported(reported.clockMillis());
            for (TargetReport.Ended end : report.ended()) {
                listed = Math.max(listed, end.number());
            }
            for (Uncertain each : uncertain) {
                if (each.fence() < fence) {
                    judged.add(each);
                }
            }
            uncertain.removeAll(judged);
            if (silent) {
                silent = false;
                LOG.infof("dependency: target=%s outcome=regained", id);
            }
        }
        events.reported(report);
        judged.forEach(each -> judge(each, report));
    }

    /** Decides what became of a start, now that a delayed copy of it can do nothing any more. */
    private void judge(Uncertain each, TargetReport report) {
        TargetCommand.Start start = each.start();
        boolean there =
                report.running().stream().anyMatch(run -> run.task().equals(start.task()) && run.run() == start.run());
        boolean ended =
                report.ended().stream().anyMatch(end -> end.task().equals(start.task()) && end.run() == start.run());
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=%s",
                start.task().job(), start.task(), start.run(), id, there ? "found" : ended ? "ended" : "absent");
        if (there) {
            events.started(start);
        } else if (!ended && recent(each.sentNanos())) {
            send(start, each.sentNanos());
        } else if (!ended) {
            events.notStarted(start, "no answer", AVOID_MILLIS);
        }
    }

    private static boolean recent(long firstNanos) {
        return System.nanoTime() - firstNanos < RESEND_MILLIS * Clocks.NANOS_PER_MILLI;
    }

    private synchronized void clock(long millis) {
        lease.clock(millis);
    }

    private void refused(TargetCalls.Refused refused, long fence) {
        if (refused.reason() == TargetCalls.RefusalReason.FENCE && fence == fence()) {
            events.deposed(id);
        }
        if (refused.reason() == TargetCalls.RefusalReason.OTHER_TARGET) {
            noAnswer("another target at the address");
        }
    }

    private void noAnswer(String reason) {
        boolean over;
        synchronized (this) {
            if (!silent) {
                silent = true;
                LOG.infof("dependency: target=%s outcome=lost reason=%s", id, reason);
            }
            over = lease.over();
            if (over) {
                uncertain.clear();
            }
        }
        events.silent(id, AVOID_MILLIS);
        if (over) {
            events.lapsed(id);
        }
    }

    /** Sends a start whose record is durable. */
    void start(TargetCommand.Start start) {
        send(start, System.nanoTime());
    }

    private void send(TargetCommand.Start start, long firstNanos) {
        TargetCalls.StartRequest call;
        TargetCalls.Endpoint to;
        synchronized (this) {
            OptionalLong until = lease.extend();
            if (until.isEmpty() || closed || !events.leads()) {
                events.notStarted(start, "not verified", 0);
                return;
            }
            call = new TargetCalls.StartRequest(
                    start.task(), start.run(), start.payload(), start.checkpoint(), until.getAsLong(), fence());
            to = address;
        }
        switch (calls.start(to, call, ORDER_ANSWER_MILLIS)) {
            case TargetCalls.Done done -> {
                clock(done.clockMillis());
                events.started(start);
            }
            case TargetCalls.Refused refused -> startRefused(start, call, refused, firstNanos);
            case TargetCalls.NoAnswer none -> unanswered(start, call.fence(), firstNanos, none.reason());
        }
    }

    private synchronized void unanswered(TargetCommand.Start start, long fence, long firstNanos, String reason) {
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=unanswered reason=%s",
                start.task().job(), start.task(), start.run(), id, reason);
        uncertain.add(new Uncertain(start, fence, firstNanos));
        if (fence() == fence) {
            raised++;
        }
        need(needed);
    }

    private void startRefused(
            TargetCommand.Start start, TargetCalls.StartRequest call, TargetCalls.Refused refused, long firstNanos) {
        refused.clockMillis().ifPresent(this::clock);
        switch (refused.reason()) {
            case FENCE -> {
                if (call.fence() < fence() && recent(firstNanos)) {
                    send(start, firstNanos);
                    return;
                }
                events.notStarted(start, "fence", 0);
                if (call.fence() == fence()) {
                    events.deposed(id);
                }
            }
            case LATE -> {
                if (recent(firstNanos)) {
                    send(start, firstNanos);
                } else {
                    events.notStarted(start, "late", AVOID_MILLIS);
                }
            }
            case OLD_RUN -> events.notStarted(start, "old run", 0);
            case ROOM -> events.notStarted(start, "no room", PAUSE_MILLIS);
            case UNKNOWN_TASK -> events.notStarted(start, "unknown task", 0);
            case UNHEALTHY, OTHER_TARGET ->
                events.notStarted(start, refused.reason().name(), AVOID_MILLIS);
        }
    }

    /** Sends a stop. One without an answer is sent again when a report still shows the run. */
    void stop(TargetCommand.Stop stop) {
        TargetCalls.Endpoint to;
        synchronized (this) {
            to = address;
        }
        if (!events.leads()) {
            return;
        }
        TargetCalls.OrderReply reply = calls.stop(to, stop.task(), stop.run(), fence(), ORDER_ANSWER_MILLIS);
        LOG.infof(
                "stop: request=%s task=%s run=%s target=%s outcome=%s",
                stop.task().job(), stop.task(), stop.run(), id, reply.getClass().getSimpleName());
    }
}
