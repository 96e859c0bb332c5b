package org.acaciaport.pool;

import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which units may search among running tasks in a pass, so that a pass stays short when much waits.
 *
 * <p>A step whose search was skipped keeps its turn: in later passes, the steps that were skipped first go first, in
 * scheduling order among those skipped in the same pass, so each step is searched after a bounded number of passes.
 * Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class SearchTurns {
    /** Number of searches after which no further unit begins one in the same pass. */
    static final int MAX_SEARCHES = 8;

    private final ClockReading now;

    /** Steps that were skipped in earlier passes, have a turn in this pass and have not been reached yet. */
    private final Set<StepExecution> pending;

    private SearchTurns(Set<StepExecution> pending, ClockReading now) {
        this.pending = pending;
        this.now = now;
    }

    /** Returns the turns of a pass over {@code units}, which are in scheduling order. */
    static SearchTurns of(List<PlacementUnit> units, ClockReading now) {
        Set<StepExecution> skipped = new LinkedHashSet<>();
        for (PlacementUnit unit : units) {
            if (unit.step().searchSkippedNanos != 0 && unit.isIn(Phase.WAITING)) {
                skipped.add(unit.step());
            }
        }
        List<StepExecution> first = skipped.stream()
                .sorted(Comparator.comparingLong(step -> step.searchSkippedNanos))
                .limit(MAX_SEARCHES)
                .toList();
        return new SearchTurns(new HashSet<>(first), now);
    }

    /**
     * Returns whether {@code step} may search now; else it keeps its turn.
     *
     * @param searches number of searches in this pass so far
     */
    boolean take(StepExecution step, int searches) {
        int remaining = MAX_SEARCHES - searches;
        boolean hasTurn = pending.remove(step);
        if (remaining > 0 && (hasTurn || remaining > pending.size())) {
            step.searchSkippedNanos = 0;
            return true;
        }
        if (step.searchSkippedNanos == 0) {
            step.searchSkippedNanos = now.monotonicNanos();
        }
        return false;
    }

    /** Gives the turn of {@code step} to others, as it needs no search in this pass. */
    void pass(StepExecution step) {
        pending.remove(step);
    }
}
