package org.acaciaport.decision;

import java.util.Optional;
import java.util.OptionalLong;
import org.acaciaport.config.ActiveConfiguration;

/**
 * A snapshot of everything that the decisions of one data centre depend on.
 *
 * <p>Immutable, so any thread may read it while the next decision is made.
 *
 * @param dataCentre name of the data centre
 * @param active the configuration in force
 * @param fleet its targets
 * @param workload its unfinished requests
 * @param gate whether work may start
 */
public record CellState(String dataCentre, ActiveConfiguration active, Fleet fleet, Workload workload, StartGate gate) {
    /** Bits of an attempt number below the epoch, so that numbers of different epochs never collide. */
    private static final int EPOCH_SHIFT = 32;

    /**
     * Returns the state of a scheduler that has just begun to lead {@code dataCentre}.
     *
     * @param epoch number of the term of leadership; attempts of a later epoch have higher numbers
     */
    public static CellState initial(String dataCentre, long epoch) {
        return new CellState(
                dataCentre,
                ActiveConfiguration.NONE,
                Fleet.EMPTY,
                Workload.startingAfter(epoch << EPOCH_SHIFT),
                StartGate.CLOSED);
    }

    /** Returns the epoch in which attempt number {@code attempt} was made. */
    public static long epochOf(long attempt) {
        return attempt >> EPOCH_SHIFT;
    }

    /** Returns the unfinished request with identifier {@code id}. */
    public Optional<Job> job(String id) {
        return Optional.ofNullable(workload.jobs().get(id));
    }

    /** Returns when the next timer is due, in milliseconds; empty if none is set. */
    public OptionalLong nextTimerAt() {
        return workload.timers().isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(workload.timers().first().dueAt());
    }
}
