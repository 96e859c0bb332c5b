package org.acaciaport.decision;

import org.acaciaport.config.Treatment;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/** Something to carry out outside the decisions. All variants are immutable. */
public sealed interface Command {
    /** Asks a target to hold a member's place until {@code deadline}. */
    record Reserve(String request, long attempt, Member member, long deadline) implements Command {}

    /** Gives up a place that was asked for and will not be used. */
    record Release(String request, long attempt, Member member) implements Command {}

    /** Records on the log that the attempt is about to start. */
    record RecordIntent(Request request, Attempt attempt) implements Command {}

    /**
     * Records on the log that an attempt with a recorded intent is over and another may follow.
     *
     * @param request identifier of the request
     * @param attempt number of the attempt
     * @param checkpointed whether it ran and its state was saved; else it was never started
     */
    record RecordVoid(String request, long attempt, boolean checkpointed) implements Command {}

    /** Tells a target to start a member, no later than the attempt's start deadline. */
    record Start(Request request, Attempt attempt, Member member, boolean resume) implements Command {}

    /** Tells a target to treat a running member. */
    record Treat(String request, long attempt, Member member, Treatment treatment, long deadline) implements Command {}

    /** Tells a target to go on with a paused member. */
    record Resume(String request, long attempt, Member member) implements Command {}

    /** Gives the caller its final answer. */
    record Answer(Request request, Outcome outcome) implements Command {}

    /** Passes a waiting request to another data centre that is in service. */
    record HandOver(Request request) implements Command {}
}
