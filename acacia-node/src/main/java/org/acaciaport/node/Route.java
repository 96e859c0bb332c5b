package org.acaciaport.node;

/**
 * A route to the log.
 *
 * <p>Immutable.
 *
 * @param peer address of the relaying peer; null for the direct route
 */
record Route(String peer) {
    static final Route DIRECT = new Route(null);

    boolean isDirect() {
        return peer == null;
    }

    @Override
    public String toString() {
        return isDirect() ? "direct" : peer;
    }
}
