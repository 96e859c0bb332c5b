package org.acaciaport.config;

/**
 * The capacity that every client account can claim at any time in one data centre.
 *
 * <p>Immutable.
 *
 * @param dataCentre name of the data centre
 * @param shape the guaranteed accelerators; the same for every account
 */
public record Guarantee(String dataCentre, Shape shape) {}
