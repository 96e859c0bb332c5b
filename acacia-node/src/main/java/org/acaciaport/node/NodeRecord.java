package org.acaciaport.node;

import java.util.Objects;

/**
 * The address at which other nodes can reach a node, and the capacity of its VM.
 *
 * <p>Immutable.
 *
 * @param name name of the node
 * @param address host and port at which it serves the wire protocol
 * @param capacity what its VM offers
 */
public record NodeRecord(String name, String address, VmCapacity capacity) {
    /** Requires all components. Whether the address is usable shows when it is used. */
    public NodeRecord {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(capacity, "capacity");
    }
}
