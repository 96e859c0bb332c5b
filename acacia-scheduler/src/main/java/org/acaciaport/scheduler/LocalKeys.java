package org.acaciaport.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.acaciaport.request.Request;

/**
 * Requests taken in while the log was unavailable, by account and key.
 *
 * <p>Safe for use by several threads. The first use of a key stays.
 */
final class LocalKeys {
    private final Map<String, Use> byKey = new ConcurrentHashMap<>();
    private final Map<String, Request> byId = new ConcurrentHashMap<>();

    /**
     * A use of a key.
     *
     * @param request the request
     * @param hash hash of its profile and payload
     */
    record Use(Request request, String hash) {}

    /** Notes a use and returns the first one of its key. */
    Use use(Request request, String hash) {
        Use first = byKey.computeIfAbsent(request.account() + '/' + request.key(), k -> new Use(request, hash));
        byId.putIfAbsent(first.request().id(), first.request());
        return first;
    }

    /** Returns the request called {@code id}, or null. */
    Request request(String id) {
        return byId.get(id);
    }
}
