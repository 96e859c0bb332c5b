package org.acaciaport.config;

/**
 * The part of one target that an account owns.
 *
 * <p>Immutable.
 *
 * @param account owner
 * @param target identifier of the target
 * @param units accelerators owned there
 */
public record Slice(String account, String target, int units) {}
