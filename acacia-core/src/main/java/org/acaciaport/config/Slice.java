package org.acaciaport.config;

/**
 * The accelerators of one target that are guaranteed to one client account.
 *
 * <p>Immutable.
 *
 * @param account name of the client account
 * @param target identifier of the target
 * @param units number of accelerators
 */
public record Slice(String account, String target, int units) {}
