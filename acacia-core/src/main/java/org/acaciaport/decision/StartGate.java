package org.acaciaport.decision;

/**
 * Whether work may start at all.
 *
 * <p>Immutable.
 *
 * @param permitUntil latest time at which a target may start work, in milliseconds
 * @param logAvailable whether the log can be appended to
 * @param backInServiceAt when the data centre last came back into service, in milliseconds
 * @param currentSecond the second since then to which {@code startsInSecond} belongs
 * @param startsInSecond starts in that second
 */
public record StartGate(
        long permitUntil, boolean logAvailable, long backInServiceAt, long currentSecond, int startsInSecond) {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Seconds after a return in which starts are limited. */
    private static final long RAMP_UP_SECONDS = 10;

    /** No evidence yet that work may start. */
    static final StartGate CLOSED = new StartGate(Long.MIN_VALUE, true, -RAMP_UP_SECONDS * MILLIS_PER_SECOND, 0, 0);

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

    StartGate withReturnToService(long now) {
        return new StartGate(permitUntil, logAvailable, now, 0, 0);
    }

    StartGate withStart(long now) {
        long current = (now - backInServiceAt) / MILLIS_PER_SECOND;
        int count = current == currentSecond ? startsInSecond + 1 : 1;
        return new StartGate(permitUntil, logAvailable, backInServiceAt, current, count);
    }

    /** Returns whether the limit on starts after a return allows another one. */
    boolean allowsStart(long now, int firstSecond) {
        long current = (now - backInServiceAt) / MILLIS_PER_SECOND;
        if (current >= RAMP_UP_SECONDS || current != currentSecond) {
            return true;
        }
        return startsInSecond < (long) firstSecond << current;
    }

    /** Returns when the limit on starts next grows, in milliseconds. */
    long nextSecondAt(long now) {
        return backInServiceAt + ((now - backInServiceAt) / MILLIS_PER_SECOND + 1) * MILLIS_PER_SECOND;
    }
}
