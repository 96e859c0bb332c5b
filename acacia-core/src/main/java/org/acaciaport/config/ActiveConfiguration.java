package org.acaciaport.config;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * The configuration in force, together with the data centres that operators have taken out of service.
 *
 * <p>Immutable.
 *
 * @param revision log offset of the newest record that changed it; -1 before the first. Never decreases.
 * @param configuration the published configuration
 * @param out names of the data centres taken out of service
 */
public record ActiveConfiguration(long revision, Configuration configuration, Set<String> out) {
    /** The state before anything has been published. */
    public static final ActiveConfiguration NONE = new ActiveConfiguration(-1, Configuration.EMPTY, Set.of());

    /** Makes a defensive copy of {@code out}. */
    public ActiveConfiguration {
        out = ImmutableSet.copyOf(out);
    }

    /** Returns whether {@code dataCentre} exists and is in service. */
    public boolean inService(String dataCentre) {
        return configuration.hasDataCentre(dataCentre) && !out.contains(dataCentre);
    }
}
