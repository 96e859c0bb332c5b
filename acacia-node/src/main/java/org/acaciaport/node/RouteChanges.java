package org.acaciaport.node;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * Tells the calls in progress what other calls have found out about the routes to the log.
 *
 * <p>Thread-safe. Listeners are called on the thread that publishes, and must not block.
 */
final class RouteChanges {
    /** What has been found out about a route. */
    record Change(Route route, boolean works) {}

    private final Set<Consumer<Change>> listeners = ConcurrentHashMap.newKeySet();

    void add(Consumer<Change> listener) {
        listeners.add(listener);
    }

    void remove(Consumer<Change> listener) {
        listeners.remove(listener);
    }

    void publish(Route route, boolean works) {
        Change change = new Change(route, works);
        listeners.forEach(listener -> listener.accept(change));
    }
}
