package org.acaciaport.node;

import java.util.OptionalLong;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;

/**
 * The leader's session with one target: renews its lease, sends it commands, and determines their outcomes.
 *
 * <p>Thread-safe; its state is guarded by the lock of its link. Invariants:
 *
 * <ul>
 *   <li>Every command carries a fencing token of this term.
 *   <li>After a start command without an answer, the fencing token is incremented before its outcome is determined from
 *       a report, so that the target rejects a delayed copy of the command.
 *   <li>A start command is not sent while a stop of that run, or of a later one of its task, is unconfirmed. Once a
 *       stop is confirmed, the target rejects the start.
 *   <li>A start command is sent only to the incarnation of the target that it was decided for, since the pool requeues
 *       the tasks of earlier ones, and only if that incarnation has just answered.
 *   <li>The pool hears of an incarnation only by a report that was requested with a higher fencing token than each
 *       command sent before, so that the incarnation rejects those that arrive later.
 *   <li>The clock of an incarnation is read from its reports only, since no other answer tells which one gave it. No
 *       lease is granted before the first.
 *   <li>A target that does not answer gets no acknowledgement: it may have restarted, and would number its ends anew.
 *   <li>The lease counts as expired only after the latest lease that may have been granted has ended on the target's
 *       own clock.
 *   <li>The lease of a target that does not answer is not renewed, and none is granted while leases are suspended.
 *   <li>A call that throws counts as unanswered, and so does a report that cannot be handled. No exception ends the
 *       session, and while a report is needed, a thread polls the target.
 * </ul>
 */
final class TargetSession {
    /** How long a target holds back a report until a run ends (long polling), in milliseconds. */
    private static final long REPORT_WAIT_MILLIS = 500;

    /** Timeout of a report beyond the time for which the target may hold it back, in milliseconds. */
    private static final long REPORT_TIMEOUT_MARGIN_MILLIS = 600;

    /** Timeout of a command, in milliseconds; the outcome of a start is then determined from a report. */
    static final long COMMAND_TIMEOUT_MILLIS = 300;

    /** How long to wait until the reported ends of runs are durable before the next report, in milliseconds. */
    private static final long DURABLE_WAIT_MILLIS = 200;

    /**
     * Pause after a failed report, while the term is not confirmed, while a stop is unconfirmed or no lease may be
     * granted, and how long a target without room gets no new work, in milliseconds.
     */
    static final long PAUSE_MILLIS = 80;

    /** How long a target that did not answer, or whose lease has expired, gets no new work, in milliseconds. */
    static final long EXCLUSION_MILLIS = 700;

    /** Pause between reports of a silent target without runs, in milliseconds; it stays excluded meanwhile. */
    private static final long IDLE_PAUSE_MILLIS = 500;

    private final String id;
    private final TargetCalls calls;
    private final SessionEvents events;
    private final TargetLink link;
    private final StopCommands stops;
    private final StartCommands starts;
    private final EndedRuns ends;

    private final TargetSilence silence;
    private final PollThread pollThread;
    private boolean occupied;
    private boolean registered = true;
    private boolean reportRequired;

    TargetSession(
            TargetCalls.Endpoint endpoint, TargetCalls calls, SessionEvents events, long baseFence, TargetLease lease) {
        this.id = endpoint.id();
        this.calls = new GuardedTargetCalls(calls);
        this.events = events;
        link = new TargetLink(endpoint, baseFence, lease);
        stops = new StopCommands(link, this.calls, events);
        ends = new EndedRuns(link);
        starts = new StartCommands(link, this.calls, events, stops, this::pollIfNeeded, this::handleNoAnswer);
        silence = new TargetSilence(link);
        pollThread = new PollThread(id, link, this::needsReport, this::poll, this::handleFailedPoll);
    }

    /** Returns since when the target has not answered, on the monotonic clock; empty if its last report has come. */
    OptionalLong silentSinceNanos() {
        return silence.sinceNanos();
    }

    boolean hasAnswered() {
        return silentSinceNanos().isEmpty();
    }

    /** Grants no lease until {@link #resumeLease}; returns when all have expired, on the monotonic clock. */
    long suspendLease() {
        return link.suspendLease();
    }

    /** Lets leases be granted again. */
    void resumeLease() {
        link.resumeLease();
    }

    /** Records that leases of earlier leaders have expired by {@code endNanos}, on the monotonic clock. */
    void limitEarlierLeases(long endNanos) {
        link.limitEarlierLeases(endNanos);
    }

    void setEndpoint(TargetCalls.Endpoint changed) {
        link.setEndpoint(changed);
    }

    /** Sets whether the target may have runs, and polls it if needed; at least once if its incarnation is unknown. */
    void setOccupied(boolean occupied) {
        synchronized (link) {
            this.occupied = occupied;
            pollIfNeeded();
        }
    }

    private void pollIfNeeded() {
        pollThread.startIfNeeded();
    }

    /**
     * Returns whether a report is needed. A registered target that does not answer is asked until it does, since it
     * gets no work meanwhile.
     */
    private boolean needsReport() {
        return occupied
                || link.incarnation() == 0
                || reportRequired
                || registered && silence.isUnresponsive()
                || !ends.areDurable()
                || !starts.areAnswered()
                || !stops.areConfirmed();
    }

    /**
     * Sets whether the target is registered. A registration requires a report: the pool may have forgotten the target
     * while there was none, and gives it no work before a report.
     */
    void setRegistered(boolean registered) {
        synchronized (link) {
            reportRequired = registered && (reportRequired || !this.registered);
            this.registered = registered;
            pollIfNeeded();
        }
    }

    /** Handles a registration; another incarnation is confirmed by a report before it gets work. */
    void announceIncarnation(long announcedIncarnation) {
        link.announceIncarnation(announcedIncarnation);
        pollIfNeeded();
    }

    void close() {
        link.close();
    }

    /** Records that the ended runs of {@code ofIncarnation} up to sequence number {@code upTo} are durable. */
    void acknowledge(long ofIncarnation, long upTo) {
        synchronized (link) {
            if (ofIncarnation == link.incarnation()) {
                ends.acknowledge(upTo);
                pollIfNeeded();
            }
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
        stops.resend();
        ends.awaitDurable(DURABLE_WAIT_MILLIS);
    }

    private void handleFailedPoll(String reason) {
        try {
            handleNoAnswer(reason);
        } finally {
            Clocks.sleep(BackgroundTasks.RETRY_DELAY_MILLIS);
        }
    }

    /** Returns how long the target may hold back the next report; 0 while there is something to resolve. */
    private long waitMillis() {
        synchronized (link) {
            boolean idle = link.isClockKnown()
                    && starts.areAnswered()
                    && ends.areDurable()
                    && (occupied || !stops.areConfirmed())
                    && !silence.isUnresponsive();
            if (!idle) {
                return 0;
            }
            return stops.areConfirmed() && !link.isLeaseSuspended() ? REPORT_WAIT_MILLIS : PAUSE_MILLIS;
        }
    }

    /** Returns the pause after a failed report, in milliseconds; longer if no run or command depends on the next. */
    private long pauseMillis() {
        synchronized (link) {
            boolean idle = silence.isUnresponsive() && !occupied && starts.areAnswered() && stops.areConfirmed();
            return idle ? IDLE_PAUSE_MILLIS : PAUSE_MILLIS;
        }
    }

    /** Requests one report; returns whether it was received. */
    private boolean pollReport(long waitMillis) {
        long fence = link.fence();
        TargetCalls.ReportRequest request;
        TargetCalls.Endpoint target;
        synchronized (link) {
            OptionalLong leaseEnd = silence.isUnresponsive() ? OptionalLong.empty() : link.nextLeaseEndMillis();
            long acknowledged = silence.isUnresponsive() ? 0 : ends.acknowledged();
            request = new TargetCalls.ReportRequest(fence, acknowledged, leaseEnd, waitMillis);
            target = link.endpoint();
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

    /** Applies a report that was requested with {@code fence}; a later one follows if it confirms no incarnation. */
    private void applyReport(TargetCalls.Reported reported, long fence) {
        TargetReport report = reported.report();
        synchronized (link) {
            TargetLink.Confirmation confirmation =
                    link.confirmIncarnation(report.incarnation(), fence, reported.clockMillis());
            if (confirmation == TargetLink.Confirmation.UNFENCED) {
                return;
            }
            if (confirmation == TargetLink.Confirmation.RESTARTED) {
                ends.reset();
                stops.clear();
            }
            reportRequired = false;
            report.ended().forEach(end -> ends.recordReported(end.number()));
            silence.recordAnswer();
        }
        events.reported(report);
        starts.resolve(report, fence);
    }

    private void handleReportRefusal(TargetCalls.Refused refused, long fence) {
        if (refused.reason() == TargetCalls.RefusalReason.FENCE && fence == link.fence()) {
            events.deposed(id);
        }
        if (refused.reason() != TargetCalls.RefusalReason.FENCE) {
            handleNoAnswer("refused: " + refused.reason());
        }
    }

    private void handleNoAnswer(String reason) {
        silence.recordNoAnswer(reason);
        events.unresponsive(id, EXCLUSION_MILLIS);
        if (isGone()) {
            events.leaseExpired(id);
        }
    }

    /** Returns whether the target does not answer and its lease has expired, so that none of its runs is left. */
    boolean isGone() {
        synchronized (link) {
            if (!silence.isUnresponsive() || !link.isLeaseExpired()) {
                return false;
            }
            starts.clear();
            stops.clear();
            return true;
        }
    }

    /** Prepares for a start command whose record is not durable yet. */
    void prepareStart() {
        starts.prepare();
    }

    /** Sends a start command; its record must be durable. */
    void start(TargetCommand.Start start) {
        starts.start(start);
    }

    /** Sends a stop command, again and again until the target confirms it. */
    void stop(TargetCommand.Stop stop) {
        BackgroundTasks.run("stop-" + id, () -> stops.send(stop), reason -> {});
        pollIfNeeded();
    }
}
