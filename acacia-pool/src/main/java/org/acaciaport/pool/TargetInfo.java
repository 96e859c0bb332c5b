package org.acaciaport.pool;

import java.util.Set;

/**
 * What is known of a target from its registration.
 *
 * <p>Immutable.
 *
 * @param id its name
 * @param service the service whose tasks it runs
 * @param address host and port
 * @param dataCentre its data centre
 * @param rack its rack; empty if unknown
 * @param labels its labels, the rack included
 * @param capacity what it offers
 * @param draining whether it is leaving and takes no new work
 * @param departureNanos while it drains, a reading of the steady clock before which it does not leave; 0 if unknown
 * @param incarnation number of its current life, in milliseconds since 1970
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
    /** Copies the set. */
    public TargetInfo {
        labels = Set.copyOf(labels);
    }
}
