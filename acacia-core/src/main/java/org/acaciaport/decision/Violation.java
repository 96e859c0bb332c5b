package org.acaciaport.decision;

/**
 * A violation of an invariant by a decision.
 *
 * <p>Immutable.
 *
 * @param invariant the invariant that was violated
 * @param detail what was observed
 */
public record Violation(Invariant invariant, String detail) {
    /** The invariants that are checked. */
    public enum Invariant {
        /** No more accelerators of a target are occupied than it has. */
        CAPACITY,
        /** The units that accounts own on a target can always be reclaimed from the work of other accounts. */
        GUARANTEE,
        /** A claim of an account on units that it owns gets them by its deadline. */
        RECLAIM_BOUND,
        /** A large job gets the places that are drained for it by its deadline, if it has one. */
        LARGE_JOB_BOUND,
        /** A gang starts only with all places reserved, and is revoked as a whole once one of its members is gone. */
        GANG_WHOLE,
        /** Work starts only under a valid permit and in a data centre that is in service. */
        PERMIT,
        /** Nothing starts on a target that is leaving or whose lease has expired. */
        LEAVING,
        /** Work that is not idempotent never runs twice, and starts only after its intent was recorded on the log. */
        AT_MOST_ONCE,
        /** Requests wait while the account has waiting requests of a profile that takes precedence over theirs. */
        PRECEDENCE,
        /** Each request gets exactly one final answer. */
        ONE_ANSWER,
        /** A request that is answered as not run was never started. */
        NOT_RUN_TRUE,
        /** The revision of the configuration in force never decreases. */
        REVISION,
        /** Totals, queues and loads agree with the phases of the jobs. */
        BOOKKEEPING
    }
}
