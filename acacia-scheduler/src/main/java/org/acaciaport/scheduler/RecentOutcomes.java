package org.acaciaport.scheduler;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.acaciaport.request.Outcome;

/**
 * Outcomes of recently finished requests, and a way to wait for one. The first outcome of a request is kept; later ones
 * are ignored.
 *
 * <p>Thread-safe.
 */
final class RecentOutcomes {
    private static final int MAX_OUTCOMES = 50_000;

    private final Cache<String, CompletableFuture<Outcome>> futures =
            CacheBuilder.newBuilder().maximumSize(MAX_OUTCOMES).build();

    /** Sets the outcome of {@code request}, unless it has one, and wakes up the threads that wait for it. */
    void complete(String request, Outcome outcome) {
        future(request).complete(outcome);
    }

    /** Returns the outcome of {@code request}, or null if it is not known. */
    Outcome getIfPresent(String request) {
        CompletableFuture<Outcome> future = futures.getIfPresent(request);
        return future == null ? null : future.getNow(null);
    }

    /**
     * Waits for the outcome of {@code request}.
     *
     * @return the outcome, or null if the timeout elapsed or the thread was interrupted, in which case its interrupt
     *     status is set
     */
    Outcome await(String request, long timeoutNanos) {
        try {
            return future(request).get(Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (ExecutionException e) {
            throw new IllegalStateException("an outcome future was completed exceptionally", e);
        }
    }

    private CompletableFuture<Outcome> future(String request) {
        return futures.asMap().computeIfAbsent(request, id -> new CompletableFuture<>());
    }
}
