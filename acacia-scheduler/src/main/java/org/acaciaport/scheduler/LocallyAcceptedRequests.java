package org.acaciaport.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.acaciaport.request.Request;

/**
 * Requests taken in while the log was unavailable, by account and key.
 *
 * <p>Safe for use by several threads. The first use of a key stays.
 */
final class LocallyAcceptedRequests {
    private final Map<String, Submission> byKey = new ConcurrentHashMap<>();
    private final Map<String, Request> byId = new ConcurrentHashMap<>();

    /**
     * A use of a key.
     *
     * @param request the request
     * @param payloadHash hash of its profile and payload
     */
    record Submission(Request request, String payloadHash) {}

    /** Notes a use and returns the first one of its key. */
    Submission putIfAbsent(Request request, String payloadHash) {
        Submission first = byKey.computeIfAbsent(
                request.account() + '/' + request.key(), k -> new Submission(request, payloadHash));
        byId.putIfAbsent(first.request().id(), first.request());
        return first;
    }

    /** Returns the request called {@code id}, or null. */
    Request findById(String id) {
        return byId.get(id);
    }
}
