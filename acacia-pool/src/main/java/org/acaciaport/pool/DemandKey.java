package org.acaciaport.pool;

/**
 * The properties that decide whether a single task fits; a demand that did not fit is not tried again in the pass.
 *
 * <p>Immutable.
 *
 * @param kind kind of the task
 * @param demand resources of the task
 */
record DemandKey(PlacementKind kind, Resources demand) {}
