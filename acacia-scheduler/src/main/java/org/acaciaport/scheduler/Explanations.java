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
 * <p>Safe for use by several threads. Keeps at most {@value #MOST_LINES} lines of {@value #MOST_REQUESTS} requests.
 */
final class Explanations {
    private static final int MOST_REQUESTS = 5_000;
    private static final int MOST_LINES = 50;

    private final Cache<String, Queue<String>> lines =
            CacheBuilder.newBuilder().maximumSize(MOST_REQUESTS).build();

    void add(Note note) {
        if (note.request().isEmpty()) {
            return;
        }
        Queue<String> queue = lines.asMap().computeIfAbsent(note.request(), id -> new ConcurrentLinkedQueue<>());
        queue.add(note.part() + ": " + note.text());
        if (queue.size() > MOST_LINES) {
            queue.poll();
        }
    }

    List<String> of(String request) {
        Queue<String> queue = lines.getIfPresent(request);
        return queue == null ? List.of() : List.copyOf(queue);
    }
}
