package org.acaciaport.node;

/**
 * Where a node can be reached by the others.
 *
 * <p>Immutable.
 *
 * @param name its name
 * @param address host and port of its wire protocol
 */
public record NodeRecord(String name, String address) {}
