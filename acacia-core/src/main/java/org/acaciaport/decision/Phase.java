package org.acaciaport.decision;

import java.util.Optional;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** Where an unfinished request stands. All variants are immutable. */
public sealed interface Phase {
    /**
     * Waiting for a place.
     *
     * @param eligibleAt earliest time at which it may be placed again, in milliseconds
     */
    record Queued(long eligibleAt) implements Phase {}

    /**
     * Its places are chosen and promised, and other work is being taken off them.
     *
     * @param attempt the places
     * @param forLargeJob whether it waits for irrevocable work to end, as large jobs may
     * @param claimedAt when the places were promised, in milliseconds
     * @param deadline when the places must be free, in milliseconds; {@link Long#MAX_VALUE} if owners may come first
     */
    record Claiming(Attempt attempt, boolean forLargeJob, long claimedAt, long deadline) implements Phase {
        /** Returns whether the places have a deadline. */
        boolean hasDeadline() {
            return deadline != Long.MAX_VALUE;
        }
    }

    /**
     * Targets are being asked to hold its places.
     *
     * @param attempt the places
     * @param granted indexes of the members whose targets agreed
     */
    record Reserving(Attempt attempt, PSet<Integer> granted) implements Phase {}

    /**
     * The intent to start is being recorded on the log; no start has been sent.
     *
     * @param attempt the places
     */
    record Committing(Attempt attempt) implements Phase {}

    /**
     * Starts have been sent.
     *
     * @param attempt the places
     * @param members state of each member by index
     * @param startedAt when the starts were sent, in milliseconds
     * @param runDeadline when the work is stopped, in milliseconds
     * @param revocation present while the work is being taken off
     */
    record Running(
            Attempt attempt,
            PMap<Integer, MemberState> members,
            long startedAt,
            long runDeadline,
            Optional<Revocation> revocation)
            implements Phase {
        /** Returns this phase with the state of one member replaced. */
        Running with(int member, MemberState state) {
            return new Running(attempt, members.plus(member, state), startedAt, runDeadline, revocation);
        }

        /** Returns this phase with {@code next} under way. */
        Running with(Revocation next) {
            return new Running(attempt, members, startedAt, runDeadline, Optional.of(next));
        }

        /** Returns whether any member still occupies accelerators. */
        boolean occupiesAccelerators() {
            return members.values().stream().anyMatch(MemberState::occupiesAccelerators);
        }
    }

    /**
     * Paused on its targets without accelerators.
     *
     * @param attempt the places
     * @param remainingMillis run limit left when it was paused, in milliseconds
     * @param requeueAt when it is queued again if it may run again, in milliseconds
     */
    record Paused(Attempt attempt, long remainingMillis, long requeueAt) implements Phase {}

    /** Being passed to another data centre; the log has not answered yet. */
    record HandingOver() implements Phase {}

    /** Returns the attempt under way. */
    default Optional<Attempt> currentAttempt() {
        return switch (this) {
            case Queued queued -> Optional.empty();
            case HandingOver handingOver -> Optional.empty();
            case Claiming claiming -> Optional.of(claiming.attempt());
            case Reserving reserving -> Optional.of(reserving.attempt());
            case Committing committing -> Optional.of(committing.attempt());
            case Running running -> Optional.of(running.attempt());
            case Paused paused -> Optional.of(paused.attempt());
        };
    }
}
