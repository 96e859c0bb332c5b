package org.acaciaport.decision;

import org.acaciaport.config.Treatment;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/** A side effect that a decision asks its caller to carry out. All variants are immutable. */
public sealed interface Command {
    /** Asks a target to reserve a member's place; an answer after {@code deadline} is too late. */
    record Reserve(String request, long attempt, Member member, long deadline) implements Command {}

    /** Tells a target to release a place, reserved or not, on which the member will not be started. */
    record Release(String request, long attempt, Member member) implements Command {}

    /** Records on the log that the attempt is about to start. */
    record RecordIntent(Request request, Attempt attempt) implements Command {}

    /**
     * Records on the log that an attempt with a recorded intent is over and another may follow.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param checkpointed true if the attempt ran and its state was saved; false if it was never started
     */
    record RecordVoid(String request, long attempt, boolean checkpointed) implements Command {}

    /** Tells a target to start a member, from its checkpoint if {@code resume}, before the attempt's start deadline. */
    record Start(Request request, Attempt attempt, Member member, boolean resume) implements Command {}

    /** Tells a target to checkpoint, throttle or stop a member, which should take effect by {@code deadline}. */
    record Treat(String request, long attempt, Member member, Treatment treatment, long deadline) implements Command {}

    /** Tells a target to continue a paused member. */
    record Resume(String request, long attempt, Member member) implements Command {}

    /** Gives the caller the final outcome of its request. */
    record Answer(Request request, Outcome outcome) implements Command {}

    /** Passes a waiting request to another data centre that is in service. */
    record HandOver(Request request) implements Command {}
}
