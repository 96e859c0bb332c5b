package org.acaciaport.decision;

import java.util.Optional;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** A phase in the life cycle of an unfinished request. All variants are immutable. */
public sealed interface Phase {
    /**
     * The request waits for a place.
     *
     * @param eligibleAt earliest time at which it may be placed again, in milliseconds
     */
    record Queued(long eligibleAt) implements Phase {}

    /**
     * Places are claimed for the request, and it waits until they are free.
     *
     * @param attempt the claimed places
     * @param forLargeJob true if the places are set aside for a large job, which also waits for irrevocable work on
     *     them to end; false if the account claims units that it owns
     * @param claimedAt when the places were claimed, in milliseconds
     * @param deadline when the places must be free, in milliseconds; {@link Long#MAX_VALUE} if there is no bound,
     *     because the claims of other owners come first
     */
    record Claiming(Attempt attempt, boolean forLargeJob, long claimedAt, long deadline) implements Phase {
        /** Returns whether there is a bound on when the places must be free. */
        boolean hasDeadline() {
            return deadline != Long.MAX_VALUE;
        }
    }

    /**
     * Targets are being asked to reserve the places.
     *
     * @param attempt the places
     * @param granted indexes of the members whose targets granted the reservation
     */
    record Reserving(Attempt attempt, PSet<Integer> granted) implements Phase {}

    /**
     * The intent to start is being recorded on the log; no start has been sent.
     *
     * @param attempt the places
     */
    record Committing(Attempt attempt) implements Phase {}

    /**
     * Starts have been sent, by this leader or an earlier one.
     *
     * @param attempt the places
     * @param members state of each member by index
     * @param startedAt when the starts were sent, or the work was resumed or taken over, in milliseconds
     * @param runDeadline when the work is stopped at its run limit, in milliseconds
     * @param revocation present while the work is being revoked
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

        /** Returns this phase with {@code next} as the revocation under way. */
        Running with(Revocation next) {
            return new Running(attempt, members, startedAt, runDeadline, Optional.of(next));
        }

        /** Returns whether any member may still occupy accelerators. */
        boolean occupiesAccelerators() {
            return members.values().stream().anyMatch(MemberState::occupiesAccelerators);
        }
    }

    /**
     * The work is paused on its target and occupies no accelerators.
     *
     * @param attempt the place; paused work has exactly one member
     * @param remainingMillis rest of the run limit when the work was paused, in milliseconds
     * @param requeueAt when work that may run again is ended here and queued again, in milliseconds
     */
    record Paused(Attempt attempt, long remainingMillis, long requeueAt) implements Phase {}

    /** The request is being handed over to another data centre; the log has not answered yet. */
    record HandingOver() implements Phase {}

    /** Returns the attempt under way; empty if the request is queued or being handed over. */
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
