package org.acaciaport.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers what was started, held, intended and answered, apart from the state that decisions are made from.
 *
 * <p>Not thread-safe. Forgets the oldest answered requests beyond {@value #MOST_ANSWERED}.
 */
final class StartLedger {
    private static final int MOST_ANSWERED = 50_000;

    private final Map<String, Map<Long, Set<Integer>>> mayHaveRun = new HashMap<>();
    private final Map<Long, Set<Integer>> held = new HashMap<>();
    private final Set<Long> intended = new HashSet<>();
    private final LinkedHashSet<String> answered = new LinkedHashSet<>();

    void started(String request, long attempt, int member) {
        mayHaveRun
                .computeIfAbsent(request, id -> new HashMap<>())
                .computeIfAbsent(attempt, n -> new HashSet<>())
                .add(member);
    }

    /** Notes that a member was certainly not started, or ended with its state saved. */
    void withdrawn(String request, long attempt, int member) {
        Map<Long, Set<Integer>> attempts = mayHaveRun.get(request);
        if (attempts == null || !attempts.containsKey(attempt)) {
            return;
        }
        attempts.get(attempt).remove(member);
        if (attempts.get(attempt).isEmpty()) {
            attempts.remove(attempt);
        }
    }

    /** Returns whether another attempt than {@code attempt} may have run. */
    boolean otherMayHaveRun(String request, long attempt) {
        return mayHaveRun.getOrDefault(request, Map.of()).keySet().stream().anyMatch(n -> n != attempt);
    }

    boolean anyMayHaveRun(String request) {
        return !mayHaveRun.getOrDefault(request, Map.of()).isEmpty();
    }

    void granted(long attempt, int member) {
        held.computeIfAbsent(attempt, n -> new HashSet<>()).add(member);
    }

    int heldBy(long attempt) {
        return held.getOrDefault(attempt, Set.of()).size();
    }

    void intended(long attempt) {
        intended.add(attempt);
    }

    boolean isIntended(long attempt) {
        return intended.contains(attempt);
    }

    /** Notes an answer; returns whether it is the first. */
    boolean answer(String request) {
        boolean first = answered.add(request);
        Map<Long, Set<Integer>> attempts = mayHaveRun.remove(request);
        if (attempts != null) {
            attempts.keySet().forEach(this::forget);
        }
        if (answered.size() > MOST_ANSWERED) {
            answered.removeFirst();
        }
        return first;
    }

    void forget(long attempt) {
        held.remove(attempt);
        intended.remove(attempt);
    }
}
