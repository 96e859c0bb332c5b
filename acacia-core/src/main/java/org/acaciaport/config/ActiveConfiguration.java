package org.acaciaport.config;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * The configuration in force, with the data centres that operators have taken out of service.
 *
 * <p>Immutable. {@code revision} is the log offset of the record that produced it and only ever grows.
 *
 * @param revision log offset of the newest record applied; -1 before the first
 * @param configuration the published document
 * @param out names of the data centres taken out of service
 */
public record ActiveConfiguration(long revision, Configuration configuration, Set<String> out) {
    /** Nothing published yet. */
    public static final ActiveConfiguration NONE = new ActiveConfiguration(-1, Configuration.EMPTY, Set.of());

    /** Copies the set. */
    public ActiveConfiguration {
        out = ImmutableSet.copyOf(out);
    }

    /** Returns whether {@code dataCentre} exists and is in service. */
    public boolean inService(String dataCentre) {
        return configuration.hasDataCentre(dataCentre) && !out.contains(dataCentre);
    }
}
