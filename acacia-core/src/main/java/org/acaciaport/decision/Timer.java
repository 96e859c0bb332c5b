package org.acaciaport.decision;

import java.util.Comparator;

/**
 * Something to look at once a time has come. A timer whose subject has moved on is ignored.
 *
 * <p>Immutable.
 *
 * @param dueAt when it is due, in milliseconds
 * @param kind what is due
 * @param subject identifier of the request, or of the target for a probe
 * @param attempt number of the attempt it belongs to; 0 if none
 */
record Timer(long dueAt, Kind kind, String subject, long attempt) implements Comparable<Timer> {
    private static final Comparator<Timer> ORDER = Comparator.comparingLong(Timer::dueAt)
            .thenComparing(Timer::kind)
            .thenComparing(Timer::subject)
            .thenComparingLong(Timer::attempt);

    /** What is due. */
    enum Kind {
        /** The request's queue deadline. */
        QUEUE_DEADLINE,
        /** The request may be placed again. */
        RETRY,
        /** The request has waited long enough to be treated as a large job. */
        STARVATION,
        /** The current step of the attempt should be over. */
        STEP_TIMEOUT,
        /** The attempt's run deadline. */
        RUN_DEADLINE,
        /** The current revocation treatment should be over. */
        TREATMENT_TIMEOUT,
        /** The target may be probed. */
        PROBE,
        /** Starts were held back after the data centre returned. */
        RAMP_UP
    }

    @Override
    public int compareTo(Timer other) {
        return ORDER.compare(this, other);
    }
}
