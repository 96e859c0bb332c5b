package org.acaciaport.decision;

/**
 * A promise that a decision broke.
 *
 * <p>Immutable.
 *
 * @param invariant which promise
 * @param detail what was seen
 */
public record Violation(Invariant invariant, String detail) {
    /** The promises that are checked. */
    public enum Invariant {
        /** No target holds more than its accelerators. */
        CAPACITY,
        /** What accounts own on a target can always be cleared for them. */
        GUARANTEE,
        /** A claim within a share has its accelerators by its deadline. */
        RECLAIM_BOUND,
        /** A large job whose places are set aside has them by its deadline. */
        LARGE_JOB_BOUND,
        /** A gang starts with every place held, and ends whole once a member is gone. */
        GANG_WHOLE,
        /** Work starts only on fresh evidence that the data centre is in service. */
        PERMIT,
        /** Nothing starts on a target that is leaving or lost. */
        LEAVING,
        /** Work that must not run twice is started once, with its intent on the log. */
        AT_MOST_ONCE,
        /** Requests of a profile that takes precedence start first. */
        PRECEDENCE,
        /** Each request has one final answer. */
        ONE_ANSWER,
        /** What is answered as not run was never started. */
        NOT_RUN_TRUE,
        /** The revision in force never decreases. */
        REVISION,
        /** Sums, queues and indexes agree with the jobs. */
        BOOKKEEPING
    }
}
