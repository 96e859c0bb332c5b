package org.acaciaport.node;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.acaciaport.failure.Failures;

/**
 * Asks a target which incarnation of it answers, before a start command is sent. An incarnation has a kind, labels and
 * a capacity of its own, and a target without runs is not polled, so that what was last heard of it may be old.
 *
 * <p>The report that it requests acknowledges nothing, renews no lease and goes to nobody else. Starts that are sent at
 * about the same time share a request. Thread-safe.
 */
final class IncarnationCheck {
    /** Age up to which a request is shared, in milliseconds; no process of a target starts again so soon. */
    static final long MAX_REQUEST_AGE_MILLIS = 50;

    /** Time since the request after which a start no longer relies on its answer, in milliseconds. */
    static final long MAX_ANSWER_AGE_MILLIS = MAX_REQUEST_AGE_MILLIS + TargetSession.COMMAND_TIMEOUT_MILLIS;

    private final TargetLink link;
    private final TargetCalls calls;

    /** The last request that was sent; null before the first. */
    private Request latest;

    IncarnationCheck(TargetLink link, TargetCalls calls) {
        this.link = link;
        this.calls = calls;
    }

    private record Request(long fence, long sentNanos, CompletableFuture<TargetCalls.ReportReply> reply) {
        boolean isCurrent(long currentFence) {
            return fence == currentFence
                    && System.nanoTime() - sentNanos <= MAX_REQUEST_AGE_MILLIS * Clocks.NANOS_PER_MILLI;
        }
    }

    /**
     * The answer of the target.
     *
     * @param fence fencing token of the request
     * @param sentNanos when the request was sent, on the monotonic clock
     * @param reply reply to the request
     */
    record Answer(long fence, long sentNanos, TargetCalls.ReportReply reply) {
        /** Returns whether a start that is sent now may rely on the answer; false if this process stood still. */
        boolean isRecent() {
            return System.nanoTime() - sentNanos <= MAX_ANSWER_AGE_MILLIS * Clocks.NANOS_PER_MILLI;
        }
    }

    /** Sends a request, whose answer a start soon after it needs. Does not block. */
    void prepare() {
        currentRequest();
    }

    /** Returns the answer to a request that was sent no longer than {@link #MAX_REQUEST_AGE_MILLIS} before. */
    Answer ask() {
        Request request = currentRequest();
        return new Answer(request.fence(), request.sentNanos(), await(request.reply()));
    }

    private static TargetCalls.ReportReply await(CompletableFuture<TargetCalls.ReportReply> reply) {
        try {
            return reply.get(2 * TargetSession.COMMAND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return new TargetCalls.NoAnswer("no answer in time");
        } catch (ExecutionException e) {
            return new TargetCalls.NoAnswer(Failures.reasonOf(e.getCause()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new TargetCalls.NoAnswer("interrupted");
        }
    }

    private Request currentRequest() {
        long fence = link.fence();
        synchronized (this) {
            if (latest == null || !latest.isCurrent(fence)) {
                latest = new Request(fence, System.nanoTime(), new CompletableFuture<>());
                Request sent = latest;
                Thread.ofVirtual().name("incarnation-" + link.id()).start(() -> send(sent));
            }
            return latest;
        }
    }

    private void send(Request request) {
        TargetCalls.ReportRequest report = new TargetCalls.ReportRequest(request.fence(), 0, OptionalLong.empty(), 0);
        request.reply()
                .completeAsync(
                        () -> calls.report(link.endpoint(), report, TargetSession.COMMAND_TIMEOUT_MILLIS),
                        Runnable::run);
    }
}
