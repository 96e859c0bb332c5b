package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides which units may search among running tasks in a pass, so that a pass stays short when much waits.
 *
 * <p>Each class of units has a number of turns of its own, so none waits for another. A unit with a turn makes all its
 * searches. Within a class, the steps that were skipped first go first, in scheduling order among those skipped in the
 * same pass. A step that does not ask for its turn in a pass loses it, or steps that do not search would keep others
 * from it. A step that asks in each pass gets a turn at most n / t passes after the first one, rounded up, where n is
 * the number of steps of its class that ask and t the number of turns of the class.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class SearchTurns {
    private final Predicate<PlacementUnit> isClaim;
    private final ClockReading now;
    private final Map<UnitClass, Turns> turnsByClass = new EnumMap<>(UnitClass.class);

    /** Steps that were skipped in earlier passes and have not been skipped again in this one. */
    private final Set<StepExecution> skippedBefore = new LinkedHashSet<>();

    private int skippedUrgent;
    private int unusedTurns;

    private SearchTurns(Predicate<PlacementUnit> isClaim, ClockReading now) {
        this.isClaim = isClaim;
        this.now = now;
        for (UnitClass unitClass : UnitClass.values()) {
            turnsByClass.put(unitClass, new Turns(unitClass.maxUnits));
        }
    }

    /** Units that share their turns. */
    enum UnitClass {
        /** Claims to accelerators; not limited, since there are at most as many as guaranteed accelerators. */
        CLAIM(Integer.MAX_VALUE),
        /** Claims that need no accelerators, whose number the guarantees do not bound. */
        CLAIM_WITHOUT_ACCELERATORS(4),
        /** Units of the highest priority beyond the guarantees of their accounts. */
        URGENT(5),
        /** Units of lower priorities, which search only for the few advance reservations. */
        OTHER(2);

        /** Number of units that search in one pass at most. */
        final int maxUnits;

        UnitClass(int maxUnits) {
            this.maxUnits = maxUnits;
        }
    }

    /** The turns of one class that are left, and the steps that are to have them. */
    private static final class Turns {
        private final Set<StepExecution> holders = new HashSet<>();
        private int remaining;

        Turns(int remaining) {
            this.remaining = remaining;
        }

        /** Gives turns to the steps that were skipped first. */
        void assign(List<StepExecution> skipped) {
            skipped.stream()
                    .sorted(Comparator.comparingLong(step -> step.searchSkippedNanos))
                    .limit(remaining)
                    .forEach(holders::add);
        }

        boolean take(StepExecution step) {
            if (!holders.remove(step) && remaining <= holders.size()) {
                return false;
            }
            remaining--;
            return true;
        }
    }

    /**
     * Returns the turns of a pass.
     *
     * @param units waiting and reserved units in scheduling order
     * @param isClaim tests whether a unit is a claim
     */
    static SearchTurns of(List<PlacementUnit> units, Predicate<PlacementUnit> isClaim, ClockReading now) {
        SearchTurns turns = new SearchTurns(isClaim, now);
        Map<UnitClass, List<StepExecution>> skipped = new EnumMap<>(UnitClass.class);
        for (PlacementUnit unit : units) {
            if (unit.step().searchSkippedNanos != 0 && turns.skippedBefore.add(unit.step())) {
                skipped.computeIfAbsent(turns.classOf(unit), c -> new ArrayList<>())
                        .add(unit.step());
            }
        }
        skipped.forEach((unitClass, steps) -> turns.turnsByClass.get(unitClass).assign(steps));
        return turns;
    }

    private UnitClass classOf(PlacementUnit unit) {
        if (unit.priority() > 0) {
            return UnitClass.OTHER;
        }
        if (!isClaim.test(unit)) {
            return UnitClass.URGENT;
        }
        return unit.demand().accelerators() > 0 ? UnitClass.CLAIM : UnitClass.CLAIM_WITHOUT_ACCELERATORS;
    }

    /** Returns whether {@code unit} may search now; else its step keeps its place for the next pass. */
    boolean take(PlacementUnit unit) {
        StepExecution step = unit.step();
        if (turnsByClass.get(classOf(unit)).take(step)) {
            step.searchSkippedNanos = 0;
            return true;
        }
        skippedUrgent += unit.priority() == 0 ? 1 : 0;
        skippedBefore.remove(step);
        if (step.searchSkippedNanos == 0) {
            step.searchSkippedNanos = now.monotonicNanos();
        }
        return false;
    }

    /** Gives the turn of the step of {@code unit} to others, as it needs no search in this pass. */
    void yieldTurn(PlacementUnit unit) {
        if (turnsByClass.get(classOf(unit)).holders.remove(unit.step())) {
            unusedTurns++;
        }
    }

    /** Returns the number of turns that were kept for steps that then gave them to others. */
    int unusedTurns() {
        return unusedTurns;
    }

    /** Returns the number of units of the highest priority without a turn. */
    int skippedUrgent() {
        return skippedUrgent;
    }

    /** Ends the pass: steps that did not ask for a turn lose their place. */
    void endPass() {
        skippedBefore.forEach(step -> step.searchSkippedNanos = 0);
    }
}
