package org.acaciaport.pool;

import java.util.Set;

/**
 * The registration data of a target.
 *
 * <p>Immutable.
 *
 * @param id unique name of the target
 * @param service service whose tasks the target runs
 * @param address host and port of the target
 * @param dataCentre data centre of the target
 * @param rack rack of the target; empty if unknown
 * @param labels labels for placement constraints, including the rack
 * @param capacity total resources of the target
 * @param draining whether the target is shutting down and accepts no new work
 * @param departureNanos for a draining target, the monotonic clock reading before which it does not shut down; 0 if
 *     unknown
 * @param incarnation incarnation number, which grows with each restart: start time in milliseconds since the Unix epoch
 */
public record TargetInfo(
        String id,
        String service,
        String address,
        String dataCentre,
        String rack,
        Set<String> labels,
        Resources capacity,
        boolean draining,
        long departureNanos,
        long incarnation) {
    /** Creates registration data with an immutable copy of {@code labels}. */
    public TargetInfo {
        labels = Set.copyOf(labels);
    }
}
