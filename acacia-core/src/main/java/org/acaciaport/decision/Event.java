package org.acaciaport.decision;

import java.util.Optional;
import java.util.Set;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.request.Request;

/** Something that happened outside the decisions. All variants are immutable. */
public sealed interface Event {
    /** Time has passed. */
    record Tick() implements Event {}

    /**
     * A request was accepted for this data centre, or handed over to it.
     *
     * @param request the request
     * @param mayHaveRun whether another scheduler may have started it
     */
    record Submitted(Request request, boolean mayHaveRun) implements Event {}

    /**
     * A request that an earlier leader accepted, found on the log.
     *
     * @param request the request
     * @param intent its last recorded attempt that was not voided; its members may be running
     * @param checkpointed whether a saved state exists from which it resumes
     */
    record Recovered(Request request, Optional<Attempt> intent, boolean checkpointed) implements Event {}

    /** A caller wants {@code request} no more. */
    record CancelAsked(String request) implements Event {}

    /** The log answered for a hand-over. When it is not recorded, it certainly never will be. */
    record HandOverAnswered(String request, boolean recorded) implements Event {}

    /** Another revision is in force. */
    record Configured(ActiveConfiguration active) implements Event {}

    /**
     * Fresh evidence that the data centre is in service.
     *
     * @param until latest time at which a target may start work on this evidence, in milliseconds
     */
    record PermitRenewed(long until) implements Event {}

    /** The log can, or cannot, be appended to. */
    record LogChanged(boolean available) implements Event {}

    /** The platform's list names these targets as leaving. */
    record LeavingListed(Set<String> targets) implements Event {}

    /** The lease at {@code target} is held again. */
    record TargetReachable(String target) implements Event {}

    /** The lease at {@code target} has lapsed: whatever ran there has ended. */
    record TargetLost(String target) implements Event {}

    /** A target answered a request to hold a place. */
    record ReserveAnswered(String request, long attempt, int member, boolean granted) implements Event {}

    /** The log answered for an intent. When it is not recorded, it certainly never will be. */
    record IntentAnswered(String request, long attempt, boolean recorded) implements Event {}

    /**
     * A member's state changed at its target.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param member index of the member
     * @param state the new state
     */
    record MemberChanged(String request, long attempt, int member, MemberState state) implements Event {}
}
