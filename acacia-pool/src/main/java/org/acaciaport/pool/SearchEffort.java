package org.acaciaport.pool;

/**
 * Counts what a pass costs.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool.
 */
final class SearchEffort {
    /** Units whose targets were examined one by one. */
    int placements;

    /** Units of the highest priority that had to leave their search to a later pass. */
    int skippedUrgent;

    /** Turns to search that were kept for units of the pass that then needed no search. */
    int unusedTurns;

    /** Searches among running tasks that earlier searches of the pass did not rule out. */
    int searches;

    /** Evaluations of the gain of a candidate. */
    long evaluations;
}
