package org.acaciaport.config;

/**
 * A data centre with its own targets and entry VMs. One scheduler at a time, its leader, makes all decisions in it.
 *
 * <p>Immutable.
 *
 * @param name unique name
 */
public record DataCentre(String name) {}
