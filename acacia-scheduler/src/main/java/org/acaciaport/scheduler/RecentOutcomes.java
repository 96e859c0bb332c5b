package org.acaciaport.scheduler;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.acaciaport.request.Outcome;

/**
 * Final answers given lately, and callers that wait for one.
 *
 * <p>Safe for use by several threads. The first answer to a request stays.
 */
final class RecentOutcomes {
    private static final int MAX_OUTCOMES = 50_000;

    private final Cache<String, CompletableFuture<Outcome>> futures =
            CacheBuilder.newBuilder().maximumSize(MAX_OUTCOMES).build();

    void complete(String request, Outcome outcome) {
        future(request).complete(outcome);
    }

    /** Returns the answer, or null if there is none yet. */
    Outcome getIfPresent(String request) {
        CompletableFuture<Outcome> future = futures.getIfPresent(request);
        return future == null ? null : future.getNow(null);
    }

    /** Returns the answer as soon as there is one, or null after {@code timeoutNanos} nanoseconds without. */
    Outcome await(String request, long timeoutNanos) {
        try {
            return future(request).get(Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (ExecutionException e) {
            throw new IllegalStateException("answers are never completed with an error", e);
        }
    }

    private CompletableFuture<Outcome> future(String request) {
        return futures.asMap().computeIfAbsent(request, id -> new CompletableFuture<>());
    }
}
