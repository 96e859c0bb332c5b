package org.acaciaport.decision;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.acaciaport.request.Outcome;
import org.acaciaport.request.Request;

/**
 * A fake log with what outlives a leader: the accepted requests, their intents, checkpoints and answers.
 *
 * <p>Records that are appended while the log is unavailable take effect in order when it is available again. Times are
 * virtual, in milliseconds. Not thread-safe.
 */
final class FakeLog {
    private final VirtualTime time;
    private final Map<String, Request> accepted = new LinkedHashMap<>();
    private final Map<String, Outcome> answers = new LinkedHashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private final Map<String, Attempt> intents = new HashMap<>(); // recorded and not voided
    private final Set<String> checkpointed = new HashSet<>();
    private final ArrayDeque<Runnable> pendingRecords = new ArrayDeque<>();
    private boolean available = true;
    private boolean rejectsDuplicateIntents = true;

    FakeLog(VirtualTime time) {
        this.time = time;
    }

    /** Makes the log record a second intent for a request, so that only the rules prevent a second run. */
    void acceptDuplicateIntents() {
        rejectsDuplicateIntents = false;
    }

    boolean isAvailable() {
        return available;
    }

    void setAvailable(boolean value) {
        available = value;
        flush();
    }

    /** Appends a record in order, at once or when the log is available again. */
    void append(Runnable record) {
        pendingRecords.add(record);
        flush();
    }

    private void flush() {
        while (available && !pendingRecords.isEmpty()) {
            pendingRecords.poll().run();
        }
    }

    /** Drops the records that have not taken effect, as happens when the leader that appended them is replaced. */
    void dropPendingRecords() {
        pendingRecords.clear();
    }

    void recordAccepted(Request request) {
        accepted.put(request.id(), request);
    }

    /** Returns all requests by identifier, in the order of their acceptance. */
    Map<String, Request> accepted() {
        return accepted;
    }

    /**
     * Records an intent unless the request has an answer or another intent.
     *
     * @return whether it was recorded
     */
    boolean recordIntent(Command.RecordIntent intent) {
        String id = intent.request().id();
        boolean isFirst = !answers.containsKey(id) && !intents.containsKey(id);
        boolean recorded = isFirst || !rejectsDuplicateIntents;
        if (recorded) {
            intents.put(id, intent.attempt());
        }
        return recorded;
    }

    /** Voids an intent; has no effect if the request has no intent or one for another attempt. */
    void recordVoid(Command.RecordVoid recordVoid) {
        Attempt intent = intents.get(recordVoid.request());
        if (intent != null && intent.number() == recordVoid.attempt()) {
            intents.remove(recordVoid.request());
            if (recordVoid.checkpointed()) {
                checkpointed.add(recordVoid.request());
            }
        }
    }

    /** Returns the intent of {@code request} that is recorded and not voided. */
    Optional<Attempt> intent(String request) {
        return Optional.ofNullable(intents.get(request));
    }

    boolean isCheckpointed(String request) {
        return checkpointed.contains(request);
    }

    /** Records an answer; the first one of a request is kept, but the time is that of the last. */
    void recordAnswer(Command.Answer answer) {
        answers.putIfAbsent(answer.request().id(), answer.outcome());
        answeredAt.put(answer.request().id(), time.now());
    }

    /** Records that another data centre serves {@code request}, which counts as an answer here. */
    void recordHandOver(Request request) {
        answers.put(request.id(), new Outcome.NotRun("handed over"));
        answeredAt.put(request.id(), time.now());
    }

    /** Returns the answers by request, in the order in which they were given. */
    Map<String, Outcome> answers() {
        return answers;
    }

    boolean isAnswered(String request) {
        return answers.containsKey(request);
    }

    /** Returns the time from acceptance of {@code request} to its answer in milliseconds, or -1 if not yet answered. */
    long completionMillis(String request) {
        return answeredAt.containsKey(request)
                ? answeredAt.get(request) - accepted.get(request).acceptedAt()
                : -1;
    }
}
