package org.acaciaport.decision;

/**
 * The place of one member of an attempt.
 *
 * <p>Immutable.
 *
 * @param index index within the attempt, from 0
 * @param target identifier of its target
 * @param units accelerators that it occupies there
 */
public record Member(int index, String target, int units) {}
