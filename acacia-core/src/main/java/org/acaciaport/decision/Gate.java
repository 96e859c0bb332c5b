package org.acaciaport.decision;

/**
 * Whether work may start at all.
 *
 * <p>Immutable.
 *
 * @param permitUntil latest time at which a target may start work, in milliseconds
 * @param logAvailable whether the log can be appended to
 * @param returnedAt when the data centre last came back into service, in milliseconds
 * @param second the second since then to which {@code started} belongs
 * @param started starts in that second
 */
public record Gate(long permitUntil, boolean logAvailable, long returnedAt, long second, int started) {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Seconds after a return in which starts are limited. */
    private static final long RAMP_SECONDS = 10;

    /** No evidence yet that work may start. */
    static final Gate CLOSED = new Gate(Long.MIN_VALUE, true, -RAMP_SECONDS * MILLIS_PER_SECOND, 0, 0);

    Gate withPermit(long until) {
        return new Gate(Math.max(permitUntil, until), logAvailable, returnedAt, second, started);
    }

    Gate withoutPermit() {
        return new Gate(Long.MIN_VALUE, logAvailable, returnedAt, second, started);
    }

    Gate withLog(boolean available) {
        return new Gate(permitUntil, available, returnedAt, second, started);
    }

    Gate withReturn(long now) {
        return new Gate(permitUntil, logAvailable, now, 0, 0);
    }

    Gate withStart(long now) {
        long current = (now - returnedAt) / MILLIS_PER_SECOND;
        int count = current == second ? started + 1 : 1;
        return new Gate(permitUntil, logAvailable, returnedAt, current, count);
    }

    /** Returns whether the limit on starts after a return allows another one. */
    boolean allowsStart(long now, int firstSecond) {
        long current = (now - returnedAt) / MILLIS_PER_SECOND;
        if (current >= RAMP_SECONDS || current != second) {
            return true;
        }
        return started < (long) firstSecond << current;
    }

    /** Returns when the limit on starts next grows, in milliseconds. */
    long nextSecond(long now) {
        return returnedAt + ((now - returnedAt) / MILLIS_PER_SECOND + 1) * MILLIS_PER_SECOND;
    }
}
