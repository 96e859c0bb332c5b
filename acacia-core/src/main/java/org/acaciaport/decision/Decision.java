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
 * @param touched identifiers of the targets whose state changed
 */
public record Decision(CellState state, List<Command> commands, List<Note> notes, Set<String> touched) {
    /** Copies the collections. */
    public Decision {
        commands = List.copyOf(commands);
        notes = List.copyOf(notes);
        touched = ImmutableSet.copyOf(touched);
    }
}
