package org.acaciaport.node;

/**
 * The address at which other nodes can reach a node, and the capacity of its VM.
 *
 * <p>Immutable.
 *
 * @param name name of the node
 * @param address host and port at which it serves the wire protocol
 * @param capacity what its VM offers
 */
public record NodeRecord(String name, String address, VmCapacity capacity) {}
