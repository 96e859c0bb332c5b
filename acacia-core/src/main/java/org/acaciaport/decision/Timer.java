package org.acaciaport.decision;

import java.util.Comparator;

/**
 * A timer, ordered by due time.
 *
 * <p>Immutable. Timers are not cancelled: one whose request, attempt or target has changed state by the time that it is
 * due has no effect.
 *
 * @param dueAt when it is due, in milliseconds
 * @param kind what to do when it is due
 * @param subject identifier of the request, or of the target for a probe; empty for the ramp-up
 * @param attempt number of the attempt to which it belongs; 0 if none
 */
record Timer(long dueAt, Kind kind, String subject, long attempt) implements Comparable<Timer> {
    private static final Comparator<Timer> ORDER = Comparator.comparingLong(Timer::dueAt)
            .thenComparing(Timer::kind)
            .thenComparing(Timer::subject)
            .thenComparingLong(Timer::attempt);

    /** What to do when a timer is due. Timers due at the same time are handled in the order of these constants. */
    enum Kind {
        /** The request's queue deadline passes. */
        QUEUE_DEADLINE,
        /** The request's retry delay is over and it may be placed again. */
        RETRY,
        /** The request has waited so long that places may be set aside for it. */
        STARVATION,
        /** Reservations, the confirmation of starts, or a pause takes too long. */
        STEP_TIMEOUT,
        /** The attempt's run limit is reached. */
        RUN_DEADLINE,
        /** The current treatment of a revocation takes too long. */
        TREATMENT_TIMEOUT,
        /** The target may be probed. */
        PROBE,
        /** The rate limit on starts after a return to service may allow more. */
        RAMP_UP
    }

    @Override
    public int compareTo(Timer other) {
        return ORDER.compare(this, other);
    }
}
