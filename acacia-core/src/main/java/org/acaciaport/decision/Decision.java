package org.acaciaport.decision;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;

/**
 * What follows from one event.
 *
 * <p>Immutable.
 *
 * @param state the next state
 * @param commands what to carry out, in order
 * @param notes the decisions in words
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
