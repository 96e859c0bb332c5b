package org.acaciaport.node;

import java.util.List;
import java.util.OptionalLong;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.jboss.logging.Logger;

/**
 * The leader's session with one target: renews its lease, sends it commands, and determines their outcomes.
 *
 * <p>Thread-safe. Invariants:
 *
 * <ul>
 *   <li>Every command carries a fencing token of this term.
 *   <li>After a start command without an answer, the fencing token is incremented before its outcome is determined from
 *       a report, so that the target rejects a delayed copy of the command.
 *   <li>A start command is not sent while a stop of that run, or of a later one of its task, is unconfirmed. Once a
 *       stop is confirmed, the target rejects the start.
 *   <li>A start command is sent only to the incarnation of the target that it was decided for, since the pool requeues
 *       the tasks of earlier ones.
 *   <li>The lease counts as expired only after the latest lease that may have been granted has ended on the target's
 *       own clock.
 *   <li>The lease of a target that does not answer is not renewed, so that it expires eventually.
 *   <li>A call that throws counts as unanswered, and so does a report that cannot be handled. No exception ends the
 *       session, and while a report is needed, a thread polls the target.
 * </ul>
 */
final class TargetSession {
    private static final Logger LOG = Logger.getLogger(TargetSession.class);

    /** How long a target holds back a report until a run ends (long polling), in milliseconds. */
    private static final long REPORT_WAIT_MILLIS = 500;

    /** Timeout of a report beyond the time for which the target may hold it back, in milliseconds. */
    private static final long REPORT_TIMEOUT_MARGIN_MILLIS = 600;

    /** Timeout of a command, in milliseconds; the outcome of a start is then determined from a report. */
    private static final long COMMAND_TIMEOUT_MILLIS = 300;

    /** How long to wait until the reported ends of runs are durable before the next report, in milliseconds. */
    private static final long DURABLE_WAIT_MILLIS = 200;

    /**
     * Pause after a failed report, while the term is not confirmed or while a stop is unconfirmed, and how long a
     * target without room gets no new work, in milliseconds.
     */
    private static final long PAUSE_MILLIS = 80;

    /** How long a target that did not answer gets no new work, in milliseconds. */
    private static final long EXCLUSION_MILLIS = 700;

    /** Pause between reports of a silent target without runs, in milliseconds; it stays excluded meanwhile. */
    private static final long IDLE_PAUSE_MILLIS = 500;

    /** Age from which a start command that had no effect is abandoned rather than sent again, in milliseconds. */
    private static final long RESEND_LIMIT_MILLIS = 1_500;

    /** Receives the events of a session, on the session's threads. Implementations must not block. */
    interface Events {
        /** Called with each report, in the order in which they were taken. */
        void reported(TargetReport report);

        /** Called when the target has confirmed a start. */
        void started(TargetCommand.Start start);

        /**
         * Called when a start has not happened and cannot happen any more.
         *
         * @param exclusionMillis how long the target should get no new work, in milliseconds
         */
        void notStarted(TargetCommand.Start start, String reason, long exclusionMillis);

        /**
         * Called when the target did not answer.
         *
         * @param exclusionMillis how long the target should get no new work, in milliseconds
         */
        void unresponsive(String target, long exclusionMillis);

        /** Called when the lease has expired, so that no run is left on the target. */
        void leaseExpired(String target);

        /** Called when the target has seen the fencing token of a later leader. */
        void deposed(String target);

        /** Returns whether the term was confirmed recently enough to send commands and renew leases. */
        boolean isLeading();
    }

    private final String id;
    private final TargetCalls calls;
    private final Events events;
    private final long baseFence;
    private final UnansweredStarts unansweredStarts = new UnansweredStarts();
    private final UnconfirmedStops unconfirmedStops = new UnconfirmedStops();

    private TargetCalls.Endpoint endpoint;
    private long fenceIncrements;

    /** Confirmed incarnation of the target; 0 until a report confirms it. */
    private long incarnation;

    /** Sequence number of the last ended run whose record is durable; the target need not report it again. */
    private long lastAcknowledgedEnd;

    /** Sequence number of the last ended run that the target has reported. */
    private long lastReportedEnd;

    private final TargetLease lease;
    private boolean occupied;
    private boolean registered = true;
    private boolean reportRequired;
    private boolean closed;
    private boolean unresponsive;
    private Thread thread;

    TargetSession(
            TargetCalls.Endpoint endpoint,
            TargetCalls calls,
            Events events,
            long baseFence,
            long earlierLeasesEndNanos) {
        this.id = endpoint.id();
        this.endpoint = endpoint;
        this.calls = new GuardedTargetCalls(calls);
        this.events = events;
        this.baseFence = baseFence;
        lease = new TargetLease(earlierLeasesEndNanos);
    }

    synchronized void setEndpoint(TargetCalls.Endpoint changed) {
        endpoint = changed;
    }

    /**
     * Sets whether the target may have runs, and starts polling it for reports if needed. A target whose incarnation is
     * not confirmed is polled at least once.
     */
    synchronized void setOccupied(boolean occupied) {
        this.occupied = occupied;
        if (needsReport() && thread == null && !closed) {
            thread = Thread.ofVirtual().name("target-" + id).start(this::run);
        }
    }

    /**
     * Returns whether a report is needed: for runs, the incarnation, a registration that came back, unacknowledged
     * ended runs, or commands without an answer. A registered target that does not answer is asked until it does, since
     * it gets no work meanwhile.
     */
    private boolean needsReport() {
        return occupied
                || incarnation == 0
                || reportRequired
                || registered && unresponsive
                || lastReportedEnd > lastAcknowledgedEnd
                || !unansweredStarts.isEmpty()
                || !unconfirmedStops.isEmpty();
    }

    /**
     * Sets whether the target is registered. A registration requires a report: the pool may have forgotten the target
     * while there was none, and gives it no work before a report.
     */
    synchronized void setRegistered(boolean registered) {
        reportRequired = registered && (reportRequired || !this.registered);
        this.registered = registered;
        setOccupied(occupied);
    }

    /** Handles a registration; another incarnation is confirmed by a report before it gets work. */
    synchronized void announceIncarnation(long announcedIncarnation) {
        if (announcedIncarnation != incarnation && incarnation != 0) {
            fenceIncrements++;
            incarnation = 0;
        }
        setOccupied(occupied);
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }

    /** Records that the ended runs of {@code ofIncarnation} up to sequence number {@code upTo} are durable. */
    synchronized void acknowledge(long ofIncarnation, long upTo) {
        if (ofIncarnation == incarnation && upTo > lastAcknowledgedEnd) {
            lastAcknowledgedEnd = upTo;
            notifyAll();
            setOccupied(occupied);
        }
    }

    private synchronized long fence() {
        return baseFence + fenceIncrements;
    }

    private synchronized boolean shouldContinue() {
        if (closed || !needsReport()) {
            thread = null;
            return false;
        }
        return true;
    }

    private void run() {
        try {
            while (shouldContinue()) {
                BackgroundTasks.run("target-" + id, this::poll, this::handleFailedPoll);
            }
        } finally {
            releaseThread();
        }
    }

    /** Lets another thread poll the target if this one still does, so if it ends by an exception. */
    private synchronized void releaseThread() {
        if (thread == Thread.currentThread()) {
            thread = null;
        }
    }

    private void poll() {
        if (!events.isLeading()) {
            Clocks.sleep(PAUSE_MILLIS);
            return;
        }
        if (!pollReport(waitMillis())) {
            Clocks.sleep(pauseMillis());
        }
        resendStops();
        awaitDurable();
    }

    private void handleFailedPoll(String reason) {
        try {
            handleNoAnswer(reason);
        } finally {
            Clocks.sleep(BackgroundTasks.RETRY_DELAY_MILLIS);
        }
    }

    /** Returns how long the target may hold back the next report; 0 while there is something to resolve. */
    private synchronized long waitMillis() {
        boolean idle = lease.isClockKnown()
                && unansweredStarts.isEmpty()
                && lastReportedEnd <= lastAcknowledgedEnd
                && (occupied || !unconfirmedStops.isEmpty())
                && !unresponsive;
        if (!idle) {
            return 0;
        }
        return unconfirmedStops.isEmpty() ? REPORT_WAIT_MILLIS : PAUSE_MILLIS;
    }

    /** Returns the pause after a failed report, in milliseconds; longer if no run or command depends on the next. */
    private synchronized long pauseMillis() {
        boolean idle = unresponsive && !occupied && unansweredStarts.isEmpty() && unconfirmedStops.isEmpty();
        return idle ? IDLE_PAUSE_MILLIS : PAUSE_MILLIS;
    }

    /** Waits a limited time until the reported ended runs are acknowledged, so that the next report omits them. */
    private synchronized void awaitDurable() {
        long deadline = Clocks.deadlineAfter(DURABLE_WAIT_MILLIS);
        while (lastReportedEnd > lastAcknowledgedEnd && !closed && Clocks.millisUntil(deadline) > 0) {
            try {
                wait(Math.max(1, Clocks.millisUntil(deadline)));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Requests one report; returns whether it was received. */
    private boolean pollReport(long waitMillis) {
        long fence = fence();
        TargetCalls.ReportRequest request;
        TargetCalls.Endpoint target;
        synchronized (this) {
            OptionalLong leaseEnd = unresponsive ? OptionalLong.empty() : lease.nextLeaseEndMillis();
            request = new TargetCalls.ReportRequest(fence, lastAcknowledgedEnd, leaseEnd, waitMillis);
            target = endpoint;
        }
        switch (calls.report(target, request, waitMillis + REPORT_TIMEOUT_MARGIN_MILLIS)) {
            case TargetCalls.Reported reported -> {
                applyReport(reported, fence);
                return true;
            }
            case TargetCalls.Refused refused -> handleReportRefusal(refused, fence);
            case TargetCalls.NoAnswer none -> handleNoAnswer(none.reason());
        }
        return false;
    }

    /** Applies a report that was requested with {@code fence}. */
    private void applyReport(TargetCalls.Reported reported, long fence) {
        TargetReport report = reported.report();
        synchronized (this) {
            if (report.incarnation() != incarnation) {
                incarnation = report.incarnation();
                lastAcknowledgedEnd = 0;
                lastReportedEnd = 0;
                unconfirmedStops.clear();
                lease.reset();
            }
            reportRequired = false;
            lease.recordReport(reported.clockMillis());
            for (TargetReport.Ended end : report.ended()) {
                lastReportedEnd = Math.max(lastReportedEnd, end.number());
            }
            if (unresponsive) {
                unresponsive = false;
                LOG.infof("dependency: target=%s outcome=regained", id);
            }
        }
        events.reported(report);
        for (UnansweredStarts.UnansweredStart unanswered : takeResolvable(fence)) {
            resolveLaterIfFailed(unanswered.start(), unanswered.sentNanos(), () -> resolve(unanswered, report));
        }
    }

    private synchronized List<UnansweredStarts.UnansweredStart> takeResolvable(long fence) {
        return unansweredStarts.takeResolvable(fence);
    }

    private synchronized void keepUnanswered(UnansweredStarts.UnansweredStart unanswered) {
        unansweredStarts.add(unanswered);
    }

    /**
     * Determines the outcome of an unanswered start from a report taken under a higher fencing token. It stays open
     * while the report does not show it.
     */
    private void resolve(UnansweredStarts.UnansweredStart unanswered, TargetReport report) {
        TargetCommand.Start start = unanswered.start();
        TargetReport.Presence presence = report.presenceOf(start.task(), start.run());
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=%s",
                start.task().job(), start.task(), start.run(), id, presence);
        switch (presence) {
            case RUNNING -> events.started(start);
            case ENDED -> {
                // The pool hears of the end from the report.
            }
            case ABSENT -> handleAbsent(unanswered);
            case UNKNOWN -> keepUnanswered(unanswered);
        }
    }

    /** Sends a start again that has certainly not started a run, unless the target would refuse it or it is too old. */
    private void handleAbsent(UnansweredStarts.UnansweredStart unanswered) {
        if (unanswered.refused()) {
            events.notStarted(unanswered.start(), "old run", 0);
        } else if (isWithinResendLimit(unanswered.sentNanos())) {
            send(unanswered.start(), unanswered.sentNanos());
        } else {
            events.notStarted(unanswered.start(), "no answer", EXCLUSION_MILLIS);
        }
    }

    private static boolean isWithinResendLimit(long firstNanos) {
        return System.nanoTime() - firstNanos < RESEND_LIMIT_MILLIS * Clocks.NANOS_PER_MILLI;
    }

    private synchronized void recordClock(long millis) {
        lease.recordClock(millis);
    }

    private void handleReportRefusal(TargetCalls.Refused refused, long fence) {
        if (refused.reason() == TargetCalls.RefusalReason.FENCE && fence == fence()) {
            events.deposed(id);
        }
        if (refused.reason() != TargetCalls.RefusalReason.FENCE) {
            handleNoAnswer("refused: " + refused.reason());
        }
    }

    private void handleNoAnswer(String reason) {
        boolean leaseExpired;
        synchronized (this) {
            if (!unresponsive) {
                unresponsive = true;
                LOG.infof("dependency: target=%s outcome=lost reason=%s", id, reason);
            }
            leaseExpired = lease.isExpired();
            if (leaseExpired) {
                unansweredStarts.clear();
                unconfirmedStops.clear();
            }
        }
        events.unresponsive(id, EXCLUSION_MILLIS);
        if (leaseExpired) {
            events.leaseExpired(id);
        }
    }

    /** Sends a start command; its record must be durable. */
    void start(TargetCommand.Start start) {
        long firstNanos = System.nanoTime();
        resolveLaterIfFailed(start, firstNanos, () -> send(start, firstNanos));
    }

    /** Runs {@code work}, which may send {@code start}; if it throws, the start counts as unanswered. */
    private void resolveLaterIfFailed(TargetCommand.Start start, long firstNanos, Runnable work) {
        BackgroundTasks.run("start-" + id, work, reason -> recordUnanswered(start, fence(), firstNanos, reason));
    }

    private void recordUnanswered(TargetCommand.Start start, long fence, long firstNanos, String reason) {
        recordUnanswered(new UnansweredStarts.UnansweredStart(start, fence, firstNanos, false), reason);
    }

    private void send(TargetCommand.Start start, long firstNanos) {
        TargetCalls.StartRequest request;
        TargetCalls.Endpoint target;
        synchronized (this) {
            if (unconfirmedStops.concern(start)) {
                events.notStarted(start, "stopped", 0);
                return;
            }
            if (start.incarnation() != incarnation) {
                events.notStarted(start, "another incarnation", 0);
                return;
            }
            OptionalLong leaseEnd = lease.nextLeaseEndMillis();
            if (leaseEnd.isEmpty() || closed || !events.isLeading()) {
                events.notStarted(start, "session not ready", 0);
                return;
            }
            request = new TargetCalls.StartRequest(
                    start.task(), start.run(), start.payload(), start.checkpoint(), leaseEnd.getAsLong(), fence());
            target = endpoint;
        }
        switch (calls.start(target, request, COMMAND_TIMEOUT_MILLIS)) {
            case TargetCalls.Done done -> {
                recordClock(done.clockMillis());
                events.started(start);
            }
            case TargetCalls.Refused refused -> handleStartRefusal(start, request, refused, firstNanos);
            case TargetCalls.NoAnswer none -> recordUnanswered(start, request.fence(), firstNanos, none.reason());
        }
    }

    /** Records an unanswered start, and increments the fencing token so that a delayed copy is rejected. */
    private synchronized void recordUnanswered(UnansweredStarts.UnansweredStart unanswered, String reason) {
        TargetCommand.Start start = unanswered.start();
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=unanswered reason=%s",
                start.task().job(), start.task(), start.run(), id, reason);
        unansweredStarts.add(unanswered);
        if (fence() == unanswered.fence()) {
            fenceIncrements++;
        }
        setOccupied(occupied);
    }

    private void handleStartRefusal(
            TargetCommand.Start start, TargetCalls.StartRequest request, TargetCalls.Refused refused, long firstNanos) {
        refused.clockMillis().ifPresent(this::recordClock);
        switch (refused.reason()) {
            case FENCE -> {
                if (request.fence() < fence() && isWithinResendLimit(firstNanos)) {
                    send(start, firstNanos);
                    return;
                }
                events.notStarted(start, "fence", 0);
                if (request.fence() == fence()) {
                    events.deposed(id);
                }
            }
            case LATE -> {
                if (isWithinResendLimit(firstNanos)) {
                    send(start, firstNanos);
                } else {
                    events.notStarted(start, "late", EXCLUSION_MILLIS);
                }
            }
            case OLD_RUN ->
                // The run was stopped before it started, or an unanswered copy of the command has started it.
                recordUnanswered(
                        new UnansweredStarts.UnansweredStart(start, request.fence(), firstNanos, true), "old run");
            case ROOM -> events.notStarted(start, "no room", PAUSE_MILLIS);
            case UNKNOWN_TASK -> events.notStarted(start, "unknown task", 0);
            case UNHEALTHY, OTHER_TARGET ->
                events.notStarted(start, refused.reason().name(), EXCLUSION_MILLIS);
        }
    }

    /** Sends a stop command, again and again until the target confirms it. */
    void stop(TargetCommand.Stop stop) {
        BackgroundTasks.run("stop-" + id, () -> sendStop(stop), reason -> {});
        synchronized (this) {
            setOccupied(occupied);
        }
    }

    /** Sends the stop if the term is confirmed; returns whether it is done with. */
    private boolean sendStop(TargetCommand.Stop stop) {
        TargetCalls.Endpoint target;
        synchronized (this) {
            unconfirmedStops.put(stop, Clocks.deadlineAfter(COMMAND_TIMEOUT_MILLIS));
            target = endpoint;
        }
        if (!events.isLeading()) {
            return false;
        }
        TargetCalls.CommandReply reply = calls.stop(target, stop.task(), stop.run(), fence(), COMMAND_TIMEOUT_MILLIS);
        LOG.infof(
                "stop: request=%s task=%s run=%s target=%s outcome=%s",
                stop.task().job(), stop.task(), stop.run(), id, reply.getClass().getSimpleName());
        if (isFinal(reply)) {
            removeStop(stop);
            return true;
        }
        return false;
    }

    /** Sends the unconfirmed stops that are due again, up to the first that has no effect. */
    private void resendStops() {
        for (TargetCommand.Stop stop : dueStops()) {
            if (!sendStop(stop)) {
                return;
            }
        }
    }

    private synchronized List<TargetCommand.Stop> dueStops() {
        return unconfirmedStops.due();
    }

    /** Returns whether a stop with this reply need not be sent again. */
    private static boolean isFinal(TargetCalls.CommandReply reply) {
        return switch (reply) {
            case TargetCalls.Done done -> true;
            case TargetCalls.Refused refused ->
                refused.reason() == TargetCalls.RefusalReason.OLD_RUN
                        || refused.reason() == TargetCalls.RefusalReason.UNKNOWN_TASK;
            case TargetCalls.NoAnswer none -> false;
        };
    }

    private synchronized void removeStop(TargetCommand.Stop stop) {
        unconfirmedStops.remove(stop);
    }
}
