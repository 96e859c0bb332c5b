package org.acaciaport.request;

import java.util.List;

/** The final answer to a request. Exactly one is given for each. All variants are immutable. */
public sealed interface Outcome {
    /**
     * The work ran to its end on every member.
     *
     * @param answers one for each member, in member order
     */
    record Done(List<MemberAnswer> answers) implements Outcome {
        /** Copies the list. */
        public Done {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The work started and failed.
     *
     * @param reason what failed and what the caller can do
     */
    record Failed(String reason) implements Outcome {}

    /**
     * The caller cancelled the request.
     *
     * @param started whether any member had been told to start
     */
    record Cancelled(boolean started) implements Outcome {}

    /**
     * No member was ever told to start, and none will be.
     *
     * @param reason why, and what the caller can do
     */
    record NotRun(String reason) implements Outcome {}

    /**
     * The work may have run, in whole or in part, and it cannot be learned.
     *
     * @param reason what is known
     */
    record Unknown(String reason) implements Outcome {}

    /** Returns the word for this outcome in answers, logs and metrics. */
    default String word() {
        return switch (this) {
            case Done done -> "done";
            case Failed failed -> "failed";
            case Cancelled cancelled -> "cancelled";
            case NotRun notRun -> "not-run";
            case Unknown unknown -> "unknown";
        };
    }
}
