package org.acaciaport.request;

import java.util.List;

/** The final outcome of a request. Every request has exactly one. All variants are immutable. */
public sealed interface Outcome {
    /**
     * The work completed on all members.
     *
     * @param answers the answer of each member, in member order
     */
    record Done(List<MemberAnswer> answers) implements Outcome {
        /** Makes a defensive copy of {@code answers}. */
        public Done {
            answers = List.copyOf(answers);
        }
    }

    /**
     * The work started and failed.
     *
     * @param reason what failed, and what the caller can do
     */
    record Failed(String reason) implements Outcome {}

    /**
     * The caller cancelled the request.
     *
     * @param started whether any target had been told to start a member
     */
    record Cancelled(boolean started) implements Outcome {}

    /**
     * The request was not run: no target was told to start a member, and none will be.
     *
     * @param reason why it was not run, and what the caller can do
     */
    record NotRun(String reason) implements Outcome {}

    /**
     * The work may have run, completely or in part, and it cannot be determined whether it did.
     *
     * @param reason what is known about it
     */
    record Unknown(String reason) implements Outcome {}

    /** Returns the status name of this outcome in replies, logs and metrics. */
    default String statusName() {
        return switch (this) {
            case Done done -> "done";
            case Failed failed -> "failed";
            case Cancelled cancelled -> "cancelled";
            case NotRun notRun -> "not-run";
            case Unknown unknown -> "unknown";
        };
    }
}
