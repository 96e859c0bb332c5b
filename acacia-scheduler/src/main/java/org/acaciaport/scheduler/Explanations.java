package org.acaciaport.scheduler;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.acaciaport.decision.Note;

/**
 * The decisions made lately about each request, in words.
 *
 * <p>Safe for use by several threads. Keeps at most {@value #MAX_LINES_PER_REQUEST} lines of {@value #MAX_REQUESTS}
 * requests.
 */
final class Explanations {
    private static final int MAX_REQUESTS = 5_000;
    private static final int MAX_LINES_PER_REQUEST = 50;

    private final Cache<String, Queue<String>> linesByRequest =
            CacheBuilder.newBuilder().maximumSize(MAX_REQUESTS).build();

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

    List<String> forRequest(String request) {
        Queue<String> queue = linesByRequest.getIfPresent(request);
        return queue == null ? List.of() : List.copyOf(queue);
    }
}
