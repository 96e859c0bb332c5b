package org.acaciaport.admission;

/**
 * Static methods that choose when refused callers return.
 *
 * <p>Thread-safe. Only the request and the expected wait decide, not its account, so an account with many waiting
 * requests is favoured no more than the others.
 */
public final class RetryTimes {
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Shortest time after which a caller returns, in milliseconds; a header has whole seconds. */
    static final long MIN_RETRY_MILLIS = MILLIS_PER_SECOND;

    /** Shortest time over which callers are spread, in milliseconds, so that they never all return at once. */
    static final long MIN_SPREAD_MILLIS = 4_000;

    /** Longest base of the time after which a caller returns, in milliseconds; expectations reach no further. */
    static final long MAX_BASE_MILLIS = 30_000;

    /** Multiplier of the finalizer of SplitMix64, whose result depends on all bits of its argument. */
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;

    private static final long MIX_2 = 0x94d049bb133111ebL;

    /** Number of equal steps into which a spread is divided. */
    private static final long SPREAD_STEPS = 1L << 20;

    private RetryTimes() {}

    /**
     * Returns when the caller of {@code request} should return, in milliseconds since the Unix epoch: once the wait is
     * expected to be short enough for a new attempt to be accepted, spread over as much again.
     *
     * @param waitMillis expected wait, in milliseconds
     * @param toleratedErrorFraction see {@link AdmissionPolicy.Settings}
     */
    static long returnMillis(AdmissionPolicy.Request request, long waitMillis, double toleratedErrorFraction) {
        double usefulMillis = Math.max(0, (double) request.latestStartMillis() - request.nowMillis());
        double acceptableMillis = usefulMillis / (1 - toleratedErrorFraction);
        long baseMillis = Math.clamp(Math.round(waitMillis - acceptableMillis), MIN_RETRY_MILLIS, MAX_BASE_MILLIS);
        long spreadMillis = Math.max(MIN_SPREAD_MILLIS, baseMillis);
        long step = Math.floorMod(mix(request.id()), SPREAD_STEPS);
        return request.nowMillis() + baseMillis + spreadMillis * step / SPREAD_STEPS;
    }

    /** Returns the whole seconds from {@code nowMillis} to {@code retryAtMillis}, at least 1. */
    public static int secondsUntil(long retryAtMillis, long nowMillis) {
        long millis = Math.max(MIN_RETRY_MILLIS, retryAtMillis - nowMillis);
        return (int) Math.min(Integer.MAX_VALUE, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    /** Returns a hash of the whole id; ids that differ in their last characters only get unrelated ones. */
    private static long mix(String id) {
        long hash = id.hashCode();
        hash = (hash ^ hash >>> 30) * MIX_1;
        hash = (hash ^ hash >>> 27) * MIX_2;
        return hash ^ hash >>> 31;
    }
}
