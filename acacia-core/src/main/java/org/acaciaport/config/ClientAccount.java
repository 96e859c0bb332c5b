package org.acaciaport.config;

/**
 * A customer with a guaranteed share, equal to every other account's.
 *
 * <p>Immutable.
 *
 * @param name unique name
 */
public record ClientAccount(String name) {}
