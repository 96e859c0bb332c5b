package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.acaciaport.decision.Violation.Invariant;

/**
 * Counts the conditions that the invariant checks require, and collects the violations in the order of their detection.
 *
 * <p>Not thread-safe.
 */
final class ViolationCollector {
    private final List<Violation> found = new ArrayList<>();
    private long checks;

    /**
     * Requires a condition of {@code invariant}.
     *
     * @param holds whether the condition holds
     * @param detail the description of a violation, evaluated only if the condition does not hold
     */
    void require(Invariant invariant, boolean holds, Supplier<String> detail) {
        checks++;
        if (!holds) {
            found.add(new Violation(invariant, detail.get()));
        }
    }

    /** Returns the number of conditions required so far. */
    long checkCount() {
        return checks;
    }

    /** Returns the violations found since the last call of {@link #clear}. */
    List<Violation> found() {
        return List.copyOf(found);
    }

    void clear() {
        found.clear();
    }
}
