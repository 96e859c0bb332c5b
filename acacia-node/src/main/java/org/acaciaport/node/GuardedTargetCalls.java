package org.acaciaport.node;

import org.acaciaport.failure.Failures;
import org.acaciaport.pool.TaskId;

/**
 * Calls of targets that never throw: a call that ends in an unchecked exception counts as unanswered.
 *
 * <p>Thread-safe. Whether the target carried out such a call is not known, as the exception may have been thrown after
 * the request was sent.
 */
final class GuardedTargetCalls implements TargetCalls {
    private final TargetCalls calls;

    /** Creates calls that are made with {@code calls}. */
    GuardedTargetCalls(TargetCalls calls) {
        this.calls = calls;
    }

    @Override
    public long maxLeaseMillis() {
        return calls.maxLeaseMillis();
    }

    @Override
    public CommandReply start(Endpoint target, StartRequest request, long timeoutMillis) {
        try {
            return calls.start(target, request, timeoutMillis);
        } catch (RuntimeException e) {
            return unanswered(e);
        }
    }

    @Override
    public CommandReply stop(Endpoint target, TaskId task, int run, long fence, long timeoutMillis) {
        try {
            return calls.stop(target, task, run, fence, timeoutMillis);
        } catch (RuntimeException e) {
            return unanswered(e);
        }
    }

    @Override
    public ReportReply report(Endpoint target, ReportRequest request, long timeoutMillis) {
        try {
            return calls.report(target, request, timeoutMillis);
        } catch (RuntimeException e) {
            return unanswered(e);
        }
    }

    private static NoAnswer unanswered(RuntimeException thrown) {
        return new NoAnswer(Failures.reasonOf(thrown));
    }
}
