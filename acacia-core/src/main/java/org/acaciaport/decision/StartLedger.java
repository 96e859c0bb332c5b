package org.acaciaport.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A record of starts, granted reservations, intents and answers, kept independently of the state that decisions use.
 *
 * <p>Not thread-safe. Remembers the newest {@value #MAX_ANSWERED} answered requests.
 */
final class StartLedger {
    private static final int MAX_ANSWERED = 50_000;

    /** Indexes of the members that may have run, by request and attempt. */
    private final Map<String, Map<Long, Set<Integer>>> mayHaveRun = new HashMap<>();

    /** Indexes of the members with a granted reservation, by attempt. */
    private final Map<Long, Set<Integer>> reserved = new HashMap<>();

    private final Set<Long> intended = new HashSet<>();
    private final LinkedHashSet<String> answered = new LinkedHashSet<>();

    void recordStart(String request, long attempt, int member) {
        mayHaveRun
                .computeIfAbsent(request, id -> new HashMap<>())
                .computeIfAbsent(attempt, n -> new HashSet<>())
                .add(member);
    }

    /** Withdraws a start, since the member was certainly not started or ended with its state saved. */
    void withdrawStart(String request, long attempt, int member) {
        Map<Long, Set<Integer>> attempts = mayHaveRun.get(request);
        if (attempts == null || !attempts.containsKey(attempt)) {
            return;
        }
        attempts.get(attempt).remove(member);
        if (attempts.get(attempt).isEmpty()) {
            attempts.remove(attempt);
        }
    }

    /** Returns whether an attempt of {@code request} other than {@code attempt} may have run. */
    boolean otherMayHaveRun(String request, long attempt) {
        return mayHaveRun.getOrDefault(request, Map.of()).keySet().stream().anyMatch(n -> n != attempt);
    }

    boolean anyMayHaveRun(String request) {
        return !mayHaveRun.getOrDefault(request, Map.of()).isEmpty();
    }

    void recordReservation(long attempt, int member) {
        reserved.computeIfAbsent(attempt, n -> new HashSet<>()).add(member);
    }

    int reservationsOf(long attempt) {
        return reserved.getOrDefault(attempt, Set.of()).size();
    }

    void recordIntent(long attempt) {
        intended.add(attempt);
    }

    boolean isIntended(long attempt) {
        return intended.contains(attempt);
    }

    /** Records an answer to a request and returns whether it is the first one. */
    boolean recordAnswer(String request) {
        boolean first = answered.add(request);
        Map<Long, Set<Integer>> attempts = mayHaveRun.remove(request);
        if (attempts != null) {
            attempts.keySet().forEach(this::forget);
        }
        if (answered.size() > MAX_ANSWERED) {
            answered.removeFirst();
        }
        return first;
    }

    /** Forgets the reservations and the intent of an attempt. */
    void forget(long attempt) {
        reserved.remove(attempt);
        intended.remove(attempt);
    }
}
