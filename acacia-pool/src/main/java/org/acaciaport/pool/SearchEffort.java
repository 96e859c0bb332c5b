package org.acaciaport.pool;

/**
 * Counts what the searches of one pass cost.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool.
 */
final class SearchEffort {
    /** Searches over all groups of targets of a tier, which were not answered by an earlier one. */
    int searches;

    /** Evaluations of the gain of a candidate. */
    long evaluations;
}
