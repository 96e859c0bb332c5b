package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * The events of a term, which other threads post and the thread of the term handles in order.
 *
 * <p>{@link #post} is thread-safe; the other methods are confined to the thread of the term.
 */
final class EventQueue {
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

    /**
     * Work for the thread of the term.
     *
     * @param action the work
     * @param postedNanos when it was posted, on the monotonic clock, in nanoseconds
     */
    record Event(Runnable action, long postedNanos) {}

    void post(Runnable action) {
        events.add(new Event(action, System.nanoTime()));
    }

    /** Returns the next event; null if none comes within {@code millis}. */
    Event poll(long millis) throws InterruptedException {
        return events.poll(millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Handles {@code first} and the events that are waiting behind it. Events posted meanwhile are left to the next
     * iteration, so that they cannot hold up the scheduling pass.
     */
    void handle(Event first, TermLoad load) {
        List<Event> waiting = new ArrayList<>(List.of(first));
        events.drainTo(waiting);
        for (Event event : waiting) {
            load.recordEvent(event.postedNanos());
            event.action().run();
        }
    }
}
