package org.acaciaport.node;

/**
 * The address at which other nodes can reach a node.
 *
 * <p>Immutable.
 *
 * @param name name of the node
 * @param address host and port at which it serves the wire protocol
 */
public record NodeRecord(String name, String address) {}
