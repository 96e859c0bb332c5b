package org.acaciaport.decision;

import java.util.List;

/**
 * One attempt to run a request, with a place for every member.
 *
 * <p>Immutable. Members are in index order, and no two of them share a target.
 *
 * @param number unique within the data centre; attempts of a later epoch have higher numbers
 * @param members places of all members
 * @param startBefore latest time at which a target may start a member, in milliseconds
 */
public record Attempt(long number, List<Member> members, long startBefore) {
    /** Copies the list. */
    public Attempt {
        members = List.copyOf(members);
    }

    /** Returns this attempt with another start deadline. */
    public Attempt withStartBefore(long deadline) {
        return new Attempt(number, members, deadline);
    }
}
