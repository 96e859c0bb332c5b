package org.acaciaport.scheduler;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.acaciaport.request.Request;

/**
 * Requests that were accepted while the log was unavailable, by idempotency key and by identifier. Keys are scoped to
 * an account, and the first submission with a key is kept.
 *
 * <p>Thread-safe.
 */
final class LocallyAcceptedRequests {
    private final Map<String, Submission> byKey = new ConcurrentHashMap<>();
    private final Map<String, Request> byId = new ConcurrentHashMap<>();

    /**
     * The first submission with a key.
     *
     * @param request the accepted request
     * @param payloadHash hash of its profile and payload, to detect a key that is reused for other content
     */
    record Submission(Request request, String payloadHash) {}

    /** Adds a submission unless its key is present, and returns the submission that the key now stands for. */
    Submission putIfAbsent(Request request, String payloadHash) {
        Submission first = byKey.computeIfAbsent(
                request.account() + '/' + request.key(), k -> new Submission(request, payloadHash));
        byId.putIfAbsent(first.request().id(), first.request());
        return first;
    }

    /** Returns the request with identifier {@code id}, or null if there is none. */
    Request findById(String id) {
        return byId.get(id);
    }
}
