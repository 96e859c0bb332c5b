package org.acaciaport.pool;

/**
 * Counts what a pass costs.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool.
 */
final class SearchEffort {
    /** Units whose targets were examined one by one. */
    int placements;

    /** Searches among running tasks that earlier searches of the pass did not rule out. */
    int searches;

    /** Evaluations of the gain of a candidate. */
    long evaluations;
}
