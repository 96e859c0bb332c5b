package org.acaciaport.node;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * A read that many callers need at the same time. One read is in progress at a time, and all callers that wait for the
 * same one share its outcome.
 *
 * <p>Invariant: a caller gets the outcome of a read that began after its call. Thread-safe. Reads run on a thread of
 * their own, so that a caller can leave at its deadline while the others go on waiting.
 */
final class SharedRead<T> {
    private final String threadName;
    private final Supplier<T> read;

    /** The read that has not begun yet; null if nobody waits for one. */
    private CompletableFuture<T> next;

    private boolean inProgress;

    SharedRead(String threadName, Supplier<T> read) {
        this.threadName = threadName;
        this.read = read;
    }

    /**
     * Returns the outcome of the next read to begin; empty if there was none by {@code deadline} or the thread was
     * interrupted, in which case the interrupt status is set.
     */
    Optional<T> await(long deadline) {
        try {
            return Optional.of(join().get(deadline - System.nanoTime(), TimeUnit.NANOSECONDS));
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a shared read failed", e.getCause());
        }
    }

    private synchronized CompletableFuture<T> join() {
        if (next == null) {
            next = new CompletableFuture<>();
        }
        CompletableFuture<T> joined = next;
        if (!inProgress) {
            inProgress = true;
            Thread.ofVirtual().name(threadName).start(this::run);
        }
        return joined;
    }

    /** Reads until nobody waits for a further read. */
    private void run() {
        CompletableFuture<T> current = takeNext();
        while (current != null) {
            complete(current);
            current = takeNext();
        }
    }

    private void complete(CompletableFuture<T> current) {
        try {
            current.complete(read.get());
        } catch (RuntimeException | Error e) {
            current.completeExceptionally(e);
        }
    }

    private synchronized CompletableFuture<T> takeNext() {
        CompletableFuture<T> taken = next;
        next = null;
        inProgress = taken != null;
        return taken;
    }
}
