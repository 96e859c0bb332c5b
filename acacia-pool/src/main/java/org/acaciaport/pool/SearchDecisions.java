package org.acaciaport.pool;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides for which units a pass searches for room among running tasks.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class SearchDecisions {
    /** Interval between searches for running tasks that could make room for the same step, in milliseconds. */
    private static final long SEARCH_INTERVAL_MILLIS = 100;

    /** Maximum number of advance reservations at the same time. */
    private static final int MAX_ADVANCE_RESERVATIONS = 1;

    private final UnitWaits unitWaits;
    private final OccupiedResourceSearch occupiedResourceSearch;
    private final SearchTurns searchTurns;
    private final ClockReading now;

    /** Demands of single tasks for which no running tasks can make room. */
    private final Set<DemandKey> searchedInVain = new HashSet<>();

    private int advanceReservations;

    /** Creates the decisions of a pass over {@code units}, which are in scheduling order. */
    SearchDecisions(
            List<PlacementUnit> units,
            UnitWaits unitWaits,
            OccupiedResourceSearch occupiedResourceSearch,
            ClockReading now) {
        this.unitWaits = unitWaits;
        this.occupiedResourceSearch = occupiedResourceSearch;
        this.now = now;
        searchTurns = SearchTurns.of(units, unitWaits::isClaim, now);
        advanceReservations =
                (int) units.stream().filter(SearchDecisions::isReservedGang).count();
    }

    /** Whether a unit searches. */
    enum Decision {
        SEARCH,
        /** A search would fail, or none is possible. */
        RULED_OUT,
        /** No search is due, or the unit waits for its turn. */
        NOT_NOW
    }

    /** Returns whether the unit is a gang below the highest priority with reserved resources. */
    private static boolean isReservedGang(PlacementUnit unit) {
        return unit.priority() > 0 && unit.step().spec.mode().gang() && unit.isIn(Phase.RESERVED);
    }

    /** Returns whether running tasks are to be searched for room now: only for gangs and the highest priority. */
    boolean isDue(PlacementUnit unit) {
        return (unit.priority() == 0 || unit.step().spec.mode().gang())
                && now.monotonicNanos() - unit.step().nextSearchNanos >= 0;
    }

    /**
     * Decides whether the unit searches now; gives its turn to others if it needs no search.
     *
     * @param kind kind of the unit; null if other units are not comparable with it
     * @param key demand of a single task; null for other units
     */
    Decision decide(PlacementUnit unit, PlacementKind kind, DemandKey key) {
        boolean due = isDue(unit) && !(key != null && searchedInVain.contains(key));
        boolean ruledOut =
                due && occupiedResourceSearch.isRuledOut(unit, kind, unitWaits.millis(unit), mayReserveInAdvance());
        if (!due || ruledOut) {
            searchTurns.yieldTurn(unit);
            return ruledOut ? Decision.RULED_OUT : Decision.NOT_NOW;
        }
        return searchTurns.take(unit) ? Decision.SEARCH : Decision.NOT_NOW;
    }

    /**
     * Records that running tasks cannot make room for the unit.
     *
     * @param key demand of a single task; null for other units
     */
    void recordFailure(PlacementUnit unit, DemandKey key) {
        postpone(unit);
        if (key != null) {
            searchedInVain.add(key);
        }
    }

    /** Puts off the next search for the step of the unit. */
    void postpone(PlacementUnit unit) {
        unit.step().nextSearchNanos = now.nanosAfter(SEARCH_INTERVAL_MILLIS);
    }

    /** Returns whether a further advance reservation is possible. */
    boolean mayReserveInAdvance() {
        return advanceReservations < MAX_ADVANCE_RESERVATIONS;
    }

    /** Counts an advance reservation. */
    void recordAdvanceReservation() {
        advanceReservations++;
    }

    /** Returns the number of units of the highest priority whose search is left to a later pass. */
    int skippedUrgent() {
        return searchTurns.skippedUrgent();
    }

    /** Returns the number of turns that were kept for units of this pass that then needed no search. */
    int unusedTurns() {
        return searchTurns.unusedTurns();
    }

    /** Ends the pass: steps that did not ask for a turn lose their place. */
    void endPass() {
        searchTurns.endPass();
    }
}
