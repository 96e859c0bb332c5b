package org.acaciaport.scheduler;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.acaciaport.decision.Note;

/**
 * Recent decisions about each request as lines of text, for the {@code explain} query. Keeps the newest
 * {@value #MAX_LINES_PER_REQUEST} lines of each request, for up to {@value #MAX_REQUESTS} requests.
 *
 * <p>Thread-safe.
 */
final class Explanations {
    private static final int MAX_REQUESTS = 5_000;
    private static final int MAX_LINES_PER_REQUEST = 50;

    private final Cache<String, Queue<String>> linesByRequest =
            CacheBuilder.newBuilder().maximumSize(MAX_REQUESTS).build();

    /** Adds the line for {@code note}, unless the note concerns no request. */
    void add(Note note) {
        if (note.request().isEmpty()) {
            return;
        }
        Queue<String> queue =
                linesByRequest.asMap().computeIfAbsent(note.request(), id -> new ConcurrentLinkedQueue<>());
        queue.add(note.part() + ": " + note.text());
        if (queue.size() > MAX_LINES_PER_REQUEST) {
            queue.poll();
        }
    }

    /** Returns the lines of {@code request}, oldest first; empty if there are none. */
    List<String> forRequest(String request) {
        Queue<String> queue = linesByRequest.getIfPresent(request);
        return queue == null ? List.of() : List.copyOf(queue);
    }
}
