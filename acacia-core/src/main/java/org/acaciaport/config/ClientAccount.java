package org.acaciaport.config;

/**
 * A tenant. Every account has the same guaranteed capacity in each data centre that has a {@link Guarantee}.
 *
 * <p>Immutable.
 *
 * @param name unique name
 */
public record ClientAccount(String name) {}
