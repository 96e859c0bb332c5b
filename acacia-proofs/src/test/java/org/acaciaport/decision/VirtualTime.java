package org.acaciaport.decision;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The virtual time of a simulation, in milliseconds, and the actions that are scheduled on it.
 *
 * <p>The time never goes back. Actions that are due at the same time run in the order in which they were scheduled. Not
 * thread-safe.
 */
final class VirtualTime {
    private static final long START_MILLIS = 1_000_000;

    /** An action due at time {@code at}; {@code sequence} orders actions that are due at the same time. */
    private record ScheduledAction(long at, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> actions = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::sequence));
    private long now = START_MILLIS;
    private long nextSequence;

    long now() {
        return now;
    }

    void schedule(long delayMillis, Runnable action) {
        scheduleAt(now + delayMillis, action);
    }

    void scheduleAt(long at, Runnable action) {
        actions.add(new ScheduledAction(at, nextSequence++, action));
    }

    /** Returns when the next action is due, or {@link Long#MAX_VALUE} if none is scheduled. */
    long nextActionAt() {
        return actions.isEmpty() ? Long.MAX_VALUE : actions.peek().at();
    }

    /** Advances to the time at which the next action is due, and runs it. */
    void runNextAction() {
        ScheduledAction scheduled = actions.poll();
        advanceTo(scheduled.at());
        scheduled.action().run();
    }

    /** Advances to {@code time} without running actions; has no effect if that time has passed. */
    void advanceTo(long time) {
        now = Math.max(now, time);
    }
}
