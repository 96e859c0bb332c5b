package org.acaciaport.pool;

import java.util.Map;
import java.util.Set;

/**
 * What operators have configured for the pool.
 *
 * <p>Immutable.
 *
 * @param guarantees guaranteed accelerators of each client account
 * @param evacuatedDataCentres data centres that take no new work
 * @param services names of the services that exist
 */
public record PoolSettings(Map<String, Long> guarantees, Set<String> evacuatedDataCentres, Set<String> services) {
    /** Nothing configured yet. */
    public static final PoolSettings EMPTY = new PoolSettings(Map.of(), Set.of(), Set.of());

    /** Copies the collections. */
    public PoolSettings {
        guarantees = Map.copyOf(guarantees);
        evacuatedDataCentres = Set.copyOf(evacuatedDataCentres);
        services = Set.copyOf(services);
    }
}
