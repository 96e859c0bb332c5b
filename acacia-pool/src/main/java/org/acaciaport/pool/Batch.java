package org.acaciaport.pool;

import java.util.List;
import java.util.Map;

/**
 * A set of records to persist together, and the actions that are allowed only once they are durable.
 *
 * <p>Immutable.
 *
 * @param records current progress of each changed job
 * @param starts start commands covered by the records
 * @param acknowledgements for each target, the ended runs covered by the records
 */
public record Batch(
        List<JobProgress> records, List<TargetCommand.Start> starts, Map<String, Acknowledgement> acknowledgements) {
    /** Creates a batch with immutable copies of the collections. */
    public Batch {
        records = List.copyOf(records);
        starts = List.copyOf(starts);
        acknowledgements = Map.copyOf(acknowledgements);
    }

    /**
     * Ended runs that a target no longer has to report.
     *
     * @param incarnation incarnation of the target in which the runs ended
     * @param upTo sequence number of the last of these ended runs, inclusive
     */
    public record Acknowledgement(long incarnation, long upTo) {}
}
