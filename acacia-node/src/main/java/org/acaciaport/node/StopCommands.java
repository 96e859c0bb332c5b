package org.acaciaport.node;

import java.util.List;
import org.acaciaport.pool.TargetCommand;
import org.jboss.logging.Logger;

/**
 * The stop commands of a session, each sent again and again until the target confirms it.
 *
 * <p>Thread-safe; its state is guarded by the lock of the link.
 */
final class StopCommands {
    private static final Logger LOG = Logger.getLogger(StopCommands.class);

    private final TargetLink link;
    private final TargetCalls calls;
    private final SessionEvents events;
    private final UnconfirmedStops unconfirmed = new UnconfirmedStops();

    StopCommands(TargetLink link, TargetCalls calls, SessionEvents events) {
        this.link = link;
        this.calls = calls;
        this.events = events;
    }

    /** Sends the stop if the term is confirmed; returns whether it is done with. */
    boolean send(TargetCommand.Stop stop) {
        synchronized (link) {
            unconfirmed.put(stop, Clocks.deadlineAfter(TargetSession.COMMAND_TIMEOUT_MILLIS));
        }
        if (!events.isLeading()) {
            return false;
        }
        TargetCalls.CommandReply reply = calls.stop(
                link.endpoint(), stop.task(), stop.run(), link.fence(), TargetSession.COMMAND_TIMEOUT_MILLIS);
        LOG.infof(
                "stop: request=%s task=%s run=%s target=%s outcome=%s",
                stop.task().job(),
                stop.task(),
                stop.run(),
                link.id(),
                reply.getClass().getSimpleName());
        if (!isFinal(reply)) {
            return false;
        }
        synchronized (link) {
            unconfirmed.remove(stop);
        }
        return true;
    }

    /** Sends the unconfirmed stops that are due again, up to the first that has no effect. */
    void resend() {
        List<TargetCommand.Stop> due;
        synchronized (link) {
            due = unconfirmed.due();
        }
        for (TargetCommand.Stop stop : due) {
            if (!send(stop)) {
                return;
            }
        }
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

    /** Returns whether an unconfirmed stop concerns the run that {@code start} would start. */
    boolean concern(TargetCommand.Start start) {
        synchronized (link) {
            return unconfirmed.concern(start);
        }
    }

    boolean areConfirmed() {
        synchronized (link) {
            return unconfirmed.isEmpty();
        }
    }

    /** Forgets all stops, since no run that they concern is left. */
    void clear() {
        synchronized (link) {
            unconfirmed.clear();
        }
    }
}
