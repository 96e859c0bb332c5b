package org.acaciaport.pool;

import java.util.List;
import java.util.Map;

/**
 * Records to make durable together, and what may happen only afterwards.
 *
 * <p>Immutable.
 *
 * @param records newest progress of every job that changed
 * @param starts orders that the records cover
 * @param acknowledgements by target, the last end that the records cover
 */
public record Batch(
        List<JobProgress> records, List<TargetCommand.Start> starts, Map<String, Acknowledgement> acknowledgements) {
    /** Copies the collections. */
    public Batch {
        records = List.copyOf(records);
        starts = List.copyOf(starts);
        acknowledgements = Map.copyOf(acknowledgements);
    }

    /**
     * Ends of one target that need not be kept.
     *
     * @param incarnation the life in which they were numbered
     * @param upTo number of the last one
     */
    public record Acknowledgement(long incarnation, long upTo) {}
}
