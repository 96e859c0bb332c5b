package org.acaciaport.decision;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;

/**
 * The result of deciding on one event.
 *
 * <p>Immutable.
 *
 * @param state the next state
 * @param commands what to carry out, in order
 * @param notes explanations of what was decided, in order
 * @param changedTargets identifiers of the targets whose state changed
 */
public record Decision(CellState state, List<Command> commands, List<Note> notes, Set<String> changedTargets) {
    /** Copies the collections. */
    public Decision {
        commands = List.copyOf(commands);
        notes = List.copyOf(notes);
        changedTargets = ImmutableSet.copyOf(changedTargets);
    }
}
