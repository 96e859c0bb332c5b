package org.acaciaport.pool;

import java.util.List;

/**
 * A decision to reserve resources for a unit, some of which may still be in use.
 *
 * <p>Holds tasks and targets, which are mutable. Confined to the thread of the pool.
 *
 * @param targets target of each task of the unit
 * @param victims tasks to stop for the unit; for tasks without a run, reservations to cancel
 * @param why reason in a word, for the log
 * @param displacedCoreSeconds work that the end of the victims loses, in core-seconds
 * @param expiresNanos monotonic clock reading until which the unit keeps the reservation, in nanoseconds
 */
record Reservation(
        List<TargetState> targets,
        List<TaskExecution> victims,
        String why,
        double displacedCoreSeconds,
        long expiresNanos) {
    /** Returns a reservation that stops nothing. */
    static Reservation withoutVictims(List<TargetState> targets, String why, long expiresNanos) {
        return new Reservation(targets, List.of(), why, 0, expiresNanos);
    }
}
