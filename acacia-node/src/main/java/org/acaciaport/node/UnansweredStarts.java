package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import org.acaciaport.pool.TargetCommand;

/**
 * The start commands of a session whose outcome is unknown.
 *
 * <p>Not thread-safe; guarded by the lock of its session.
 */
final class UnansweredStarts {
    /**
     * A start command whose outcome is unknown.
     *
     * @param start the command
     * @param fence fencing token that it was sent with
     * @param sentNanos when it was first sent, on the monotonic clock, in nanoseconds
     */
    record UnansweredStart(TargetCommand.Start start, long fence, long sentNanos) {}

    private final List<UnansweredStart> starts = new ArrayList<>();

    void add(UnansweredStart unanswered) {
        starts.add(unanswered);
    }

    boolean isEmpty() {
        return starts.isEmpty();
    }

    void clear() {
        starts.clear();
    }

    /** Removes the starts that a report requested with {@code fence} resolves, and returns them. */
    List<UnansweredStart> takeResolvable(long fence) {
        List<UnansweredStart> resolvable = new ArrayList<>();
        for (UnansweredStart unanswered : starts) {
            if (unanswered.fence() < fence) {
                resolvable.add(unanswered);
            }
        }
        starts.removeAll(resolvable);
        return resolvable;
    }
}
