package org.acaciaport.config;

/**
 * A zone with its own targets and entry VMs, and the unit in which one scheduler at a time decides.
 *
 * <p>Immutable.
 *
 * @param name unique name
 */
public record DataCentre(String name) {}
