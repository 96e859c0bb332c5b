package org.acaciaport.node;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetReport;
import org.jboss.logging.Logger;

/**
 * The start commands of a session: sends them, and determines from reports the outcomes of those without an answer.
 *
 * <p>Thread-safe; its state is guarded by the lock of the link.
 */
final class StartCommands {
    private static final Logger LOG = Logger.getLogger(StartCommands.class);

    /** Age from which a start command that had no effect is abandoned rather than sent again, in milliseconds. */
    private static final long RESEND_LIMIT_MILLIS = 1_500;

    private final TargetLink link;
    private final TargetCalls calls;
    private final SessionEvents events;
    private final StopCommands stops;
    private final Runnable needsReport;
    private final Consumer<String> noAnswer;
    private final IncarnationCheck incarnationCheck;
    private final UnansweredStarts unanswered = new UnansweredStarts();

    /**
     * Creates an empty set of commands.
     *
     * @param stops the stop commands of the session
     * @param needsReport called when a report is needed to determine an outcome or to confirm an incarnation
     * @param noAnswer called with the reason when the target did not tell its incarnation
     */
    StartCommands(
            TargetLink link,
            TargetCalls calls,
            SessionEvents events,
            StopCommands stops,
            Runnable needsReport,
            Consumer<String> noAnswer) {
        this.link = link;
        this.calls = calls;
        this.events = events;
        this.stops = stops;
        this.needsReport = needsReport;
        this.noAnswer = noAnswer;
        incarnationCheck = new IncarnationCheck(link, calls);
    }

    boolean areAnswered() {
        synchronized (link) {
            return unanswered.isEmpty();
        }
    }

    /** Forgets the starts without an answer, since none of their runs is left. */
    void clear() {
        synchronized (link) {
            unanswered.clear();
        }
    }

    /** Prepares for a start command whose record is not durable yet, so that it can be sent as soon as that is. */
    void prepare() {
        incarnationCheck.prepare();
    }

    /** Sends a start command; its record must be durable. */
    void start(TargetCommand.Start start) {
        long firstNanos = System.nanoTime();
        resolveLaterIfFailed(start, firstNanos, () -> send(start, firstNanos));
    }

    /** Runs {@code work}, which may send {@code start}; if it throws, the start counts as unanswered. */
    private void resolveLaterIfFailed(TargetCommand.Start start, long firstNanos, Runnable work) {
        BackgroundTasks.run(
                "start-" + link.id(), work, reason -> recordUnanswered(start, link.fence(), firstNanos, reason));
    }

    /** Determines the outcomes that {@code report}, which was requested with {@code fence}, shows. */
    void resolve(TargetReport report, long fence) {
        List<UnansweredStarts.UnansweredStart> resolvable;
        synchronized (link) {
            resolvable = unanswered.takeResolvable(fence);
        }
        for (UnansweredStarts.UnansweredStart each : resolvable) {
            resolveLaterIfFailed(each.start(), each.sentNanos(), () -> resolve(each, report));
        }
    }

    /**
     * Determines the outcome of an unanswered start from a report taken under a higher fencing token. It stays open
     * while the report does not show it.
     */
    private void resolve(UnansweredStarts.UnansweredStart each, TargetReport report) {
        TargetCommand.Start start = each.start();
        TargetReport.Presence presence = report.presenceOf(start.task(), start.run());
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=%s",
                start.task().job(), start.task(), start.run(), link.id(), presence);
        switch (presence) {
            case RUNNING -> events.started(start);
            case ENDED -> {
                // The pool hears of the end from the report.
            }
            case ABSENT -> handleAbsent(each);
            case UNKNOWN -> {
                synchronized (link) {
                    unanswered.add(each);
                }
            }
        }
    }

    /** Sends a start again that has certainly not started a run, unless it is too old. */
    private void handleAbsent(UnansweredStarts.UnansweredStart each) {
        if (isWithinResendLimit(each.sentNanos())) {
            resendIfWanted(each.start(), each.sentNanos());
        } else {
            events.notStarted(each.start(), "no answer", TargetSession.EXCLUSION_MILLIS);
        }
    }

    /** Sends a start again if the pool still wants it: the limit of its account may have been lowered meanwhile. */
    private void resendIfWanted(TargetCommand.Start start, long firstNanos) {
        events.startAbsent(start, () -> resolveLaterIfFailed(start, firstNanos, () -> resend(start, firstNanos)));
    }

    /** Sends a start again, unless so much time has passed that the lease under which it was sent may have expired. */
    private void resend(TargetCommand.Start start, long firstNanos) {
        if (isWithinResendLimit(firstNanos)) {
            send(start, firstNanos);
        } else {
            events.notStarted(start, "no answer", TargetSession.EXCLUSION_MILLIS);
        }
    }

    private static boolean isWithinResendLimit(long firstNanos) {
        return System.nanoTime() - firstNanos < RESEND_LIMIT_MILLIS * Clocks.NANOS_PER_MILLI;
    }

    /** Sends a start if the incarnation that it was decided for answers. */
    private void send(TargetCommand.Start start, long firstNanos) {
        IncarnationCheck.Answer answer = incarnationCheck.ask();
        switch (answer.reply()) {
            case TargetCalls.Reported reported -> {
                announce(reported.report().incarnation(), start);
                sendNow(start, answer, firstNanos);
            }
            case TargetCalls.Refused refused -> handleRefusal(start, answer.fence(), refused, firstNanos);
            case TargetCalls.NoAnswer none -> {
                events.notStarted(start, "incarnation not known", TargetSession.EXCLUSION_MILLIS);
                noAnswer.accept(none.reason());
                needsReport.run();
            }
        }
    }

    /** Handles the incarnation that has answered; another one than that of {@code start} needs a report. */
    private void announce(long incarnation, TargetCommand.Start start) {
        synchronized (link) {
            if (incarnation == start.incarnation() || link.incarnation() != start.incarnation()) {
                return;
            }
            link.announceIncarnation(incarnation);
        }
        needsReport.run();
    }

    private void sendNow(TargetCommand.Start start, IncarnationCheck.Answer answer, long firstNanos) {
        TargetCalls.StartRequest request;
        TargetCalls.Endpoint target;
        synchronized (link) {
            if (stops.concern(start)) {
                events.notStarted(start, "stopped", 0);
                return;
            }
            if (start.incarnation() != link.incarnation()) {
                events.notStarted(start, "another incarnation", 0);
                return;
            }
            if (!answer.isRecent()) {
                events.notStarted(start, "incarnation not known", 0);
                return;
            }
            OptionalLong leaseEnd = link.nextLeaseEndMillis();
            if (leaseEnd.isEmpty() || link.isClosed() || !events.isLeading()) {
                events.notStarted(start, "session not ready", TargetSession.PAUSE_MILLIS);
                return;
            }
            request = new TargetCalls.StartRequest(
                    start.task(), start.run(), start.payload(), start.checkpoint(), leaseEnd.getAsLong(), link.fence());
            target = link.endpoint();
        }
        switch (calls.start(target, request, TargetSession.COMMAND_TIMEOUT_MILLIS)) {
            case TargetCalls.Done done -> events.started(start);
            case TargetCalls.Refused refused -> handleRefusal(start, request.fence(), refused, firstNanos);
            case TargetCalls.NoAnswer none -> recordUnanswered(start, request.fence(), firstNanos, none.reason());
        }
    }

    /** Records an unanswered start, and raises the fencing token so that a delayed copy is rejected. */
    private void recordUnanswered(TargetCommand.Start start, long fence, long firstNanos, String reason) {
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=unanswered reason=%s",
                start.task().job(), start.task(), start.run(), link.id(), reason);
        synchronized (link) {
            unanswered.add(new UnansweredStarts.UnansweredStart(start, fence, firstNanos));
            link.raiseFenceAbove(fence);
        }
        needsReport.run();
    }

    private void handleRefusal(TargetCommand.Start start, long fence, TargetCalls.Refused refused, long firstNanos) {
        switch (refused.reason()) {
            case FENCE -> {
                if (fence < link.fence() && isWithinResendLimit(firstNanos)) {
                    resendIfWanted(start, firstNanos);
                    return;
                }
                events.notStarted(start, "fence", 0);
                if (fence == link.fence()) {
                    events.deposed(link.id());
                }
            }
            case LATE ->
                // The clock is not the one expected: a report tells whether the target has restarted.
                recordUnanswered(start, fence, firstNanos, "late by its clock " + refused.clockMillis());
            case OLD_RUN ->
                // Stopped before it started: a report has shown that no earlier copy of the command started it.
                events.notStarted(start, "old run", 0);
            case ROOM -> events.notStarted(start, "no room", TargetSession.PAUSE_MILLIS);
            case UNKNOWN_TASK -> events.notStarted(start, "unknown task", 0);
            case UNHEALTHY, OTHER_TARGET ->
                events.notStarted(start, refused.reason().name(), TargetSession.EXCLUSION_MILLIS);
        }
    }
}
