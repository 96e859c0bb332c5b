package org.acaciaport.decision;

/**
 * The conditions under which work may start in the data centre: a valid permit, the state of the log, and a limit on
 * the rate of starts while the data centre ramps up after a return to service.
 *
 * <p>Immutable.
 *
 * @param permitUntil when the permit expires, in milliseconds; no target may start work later than this
 * @param logAvailable whether the log can be appended to
 * @param backInServiceAt when the data centre last came back into service, in milliseconds
 * @param currentSecond the second in which the latest start happened, counted from {@code backInServiceAt}
 * @param startsInSecond number of starts in that second
 */
public record StartGate(
        long permitUntil, boolean logAvailable, long backInServiceAt, long currentSecond, int startsInSecond) {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Seconds after a return to service in which the rate of starts is limited. */
    private static final long RAMP_UP_SECONDS = 10;

    /** No permit yet, and no ramp-up under way. */
    static final StartGate CLOSED = new StartGate(Long.MIN_VALUE, true, -RAMP_UP_SECONDS * MILLIS_PER_SECOND, 0, 0);

    /** Returns this gate with the permit extended to {@code until}; a permit is never shortened this way. */
    StartGate withPermit(long until) {
        return new StartGate(
                Math.max(permitUntil, until), logAvailable, backInServiceAt, currentSecond, startsInSecond);
    }

    StartGate withoutPermit() {
        return new StartGate(Long.MIN_VALUE, logAvailable, backInServiceAt, currentSecond, startsInSecond);
    }

    StartGate withLogAvailable(boolean available) {
        return new StartGate(permitUntil, available, backInServiceAt, currentSecond, startsInSecond);
    }

    /** Returns this gate with a ramp-up that begins at {@code now}. */
    StartGate withReturnToService(long now) {
        return new StartGate(permitUntil, logAvailable, now, 0, 0);
    }

    /** Returns this gate with one more start counted at {@code now}. */
    StartGate withStart(long now) {
        long current = (now - backInServiceAt) / MILLIS_PER_SECOND;
        int count = current == currentSecond ? startsInSecond + 1 : 1;
        return new StartGate(permitUntil, logAvailable, backInServiceAt, current, count);
    }

    /**
     * Returns whether the rate limit of the ramp-up allows another start at {@code now}.
     *
     * @param firstSecondStarts starts allowed in the first second; the number doubles with each further second
     */
    boolean allowsStart(long now, int firstSecondStarts) {
        long current = (now - backInServiceAt) / MILLIS_PER_SECOND;
        if (current >= RAMP_UP_SECONDS || current != currentSecond) {
            return true;
        }
        return startsInSecond < (long) firstSecondStarts << current;
    }

    /** Returns when the next second of the ramp-up begins, in milliseconds. */
    long nextSecondAt(long now) {
        return backInServiceAt + ((now - backInServiceAt) / MILLIS_PER_SECOND + 1) * MILLIS_PER_SECOND;
    }
}
