package org.acaciaport.decision;

import java.util.Optional;
import java.util.Set;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.request.Request;

/** An input to a decision: something that happened outside the decider. All variants are immutable. */
public sealed interface Event {
    /** Time has passed; sent when a timer is due and nothing else has happened. */
    record Tick() implements Event {}

    /**
     * A request was accepted for this data centre, or handed over to it.
     *
     * @param request the request
     * @param mayHaveRun whether another scheduler may have started it before
     */
    record Submitted(Request request, boolean mayHaveRun) implements Event {}

    /**
     * An unfinished request that an earlier leader accepted was read from the log.
     *
     * @param request the request
     * @param intent its latest recorded attempt that was not voided; its members may be running
     * @param checkpointed whether a checkpoint exists from which it resumes
     */
    record Recovered(Request request, Optional<Attempt> intent, boolean checkpointed) implements Event {}

    /** The caller asked to cancel {@code request}. */
    record CancelAsked(String request) implements Event {}

    /** The log answered a hand-over. If {@code recorded} is false, the hand-over will never be recorded later. */
    record HandOverAnswered(String request, boolean recorded) implements Event {}

    /** A revision of the configuration was read from the log; older revisions are ignored. */
    record Configured(ActiveConfiguration active) implements Event {}

    /**
     * The permit to start work was renewed: there is fresh evidence that the data centre is in service.
     *
     * @param until latest time at which a target may start work on this evidence, in milliseconds
     */
    record PermitRenewed(long until) implements Event {}

    /** The log became available for appending, or unavailable. */
    record LogChanged(boolean available) implements Event {}

    /** The platform's newest list names exactly {@code targets} as going out of service. */
    record LeavingListed(Set<String> targets) implements Event {}

    /** The lease on {@code target} is held, for the first time or again. */
    record TargetReachable(String target) implements Event {}

    /** The lease on {@code target} expired, so the target has ended whatever ran on it. */
    record TargetLost(String target) implements Event {}

    /** A target granted or refused a {@link Command.Reserve}. */
    record ReserveAnswered(String request, long attempt, int member, boolean granted) implements Event {}

    /** The log answered an intent. If {@code recorded} is false, the intent will never be recorded later. */
    record IntentAnswered(String request, long attempt, boolean recorded) implements Event {}

    /**
     * A target reported a new state of a member, possibly late or more than once.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param member index of the member
     * @param state the new state
     */
    record MemberChanged(String request, long attempt, int member, MemberState state) implements Event {}
}
