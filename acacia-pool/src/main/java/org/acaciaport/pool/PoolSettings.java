package org.acaciaport.pool;

import java.util.Map;
import java.util.Set;

/**
 * The operator-defined settings of the pool.
 *
 * <p>Immutable.
 *
 * @param guarantees number of guaranteed accelerators by client account
 * @param evacuatedDataCentres data centres that accept no new work
 * @param services names of the known services
 */
public record PoolSettings(Map<String, Long> guarantees, Set<String> evacuatedDataCentres, Set<String> services) {
    /** Settings without any guarantee, evacuated data centre or service. */
    public static final PoolSettings EMPTY = new PoolSettings(Map.of(), Set.of(), Set.of());

    /** Creates settings with immutable copies of the collections. */
    public PoolSettings {
        guarantees = Map.copyOf(guarantees);
        evacuatedDataCentres = Set.copyOf(evacuatedDataCentres);
        services = Set.copyOf(services);
    }
}
