package org.acaciaport.node;

/**
 * The timeouts of one kind of call to the log, such as appends. Thread-safe.
 *
 * @param direct the timeout on the direct route
 * @param peer the timeout through a relaying peer
 */
record RouteTimeouts(AdaptiveTimeout direct, AdaptiveTimeout peer) {
    /**
     * Returns timeouts with an allowance for the transfer of an answer. A relayed answer passes two links.
     *
     * @param transferMillis allowance for one link, in milliseconds
     */
    static RouteTimeouts of(long transferMillis) {
        return new RouteTimeouts(new AdaptiveTimeout(transferMillis), new AdaptiveTimeout(2 * transferMillis));
    }
}
