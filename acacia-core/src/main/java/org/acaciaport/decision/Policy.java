package org.acaciaport.decision;

/**
 * The limits and timeouts that the decisions respect.
 *
 * <p>Immutable. The policy holds durations only; the state stores the deadlines computed from them.
 *
 * @param maxQueuedPerAccount maximum number of waiting requests of one account
 * @param startWindowMillis time in which a target may start a member, counted from the command to start it
 * @param reserveTimeoutMillis time in which targets must answer a reservation
 * @param checkpointTimeoutMillis time in which a checkpoint must be complete
 * @param throttleTimeoutMillis time in which a throttle must take effect
 * @param stopTimeoutMillis time in which a stop must take effect; after it, the member counts as lost
 * @param starvationMillis waiting time after which places may be set aside for a request; also the time after which
 *     paused work that may run again is ended and queued again
 * @param agingMillis waiting time that raises a request's priority by one
 * @param maxFailedAttempts number of failed attempts at which an idempotent request is answered as failed
 * @param baseRetryDelayMillis delay before a request is placed again, doubled for each consecutive attempt without
 *     success
 * @param retryPercent maximum share of retries among started attempts in the long run, in percent
 * @param failuresForProbation number of different failed requests, of at least two accounts, that puts a target on
 *     probation; twice as many are needed if all belong to one account
 * @param initialProbeDelayMillis delay before a target on probation is probed for the first time; doubles with each
 *     further probation
 * @param maxProbeDelayMillis upper bound of the delay before a probe
 * @param firstSecondStarts starts allowed in the first second after a data centre returns to service; the number
 *     doubles with each further second
 */
public record Policy(
        int maxQueuedPerAccount,
        long startWindowMillis,
        long reserveTimeoutMillis,
        long checkpointTimeoutMillis,
        long throttleTimeoutMillis,
        long stopTimeoutMillis,
        long starvationMillis,
        long agingMillis,
        int maxFailedAttempts,
        long baseRetryDelayMillis,
        int retryPercent,
        int failuresForProbation,
        long initialProbeDelayMillis,
        long maxProbeDelayMillis,
        int firstSecondStarts) {
    /** Bounds the exponential backoff between attempts. */
    private static final int MAX_DOUBLINGS = 6;

    /** The policy that the programs use. */
    public static final Policy STANDARD = new Policy(
            /* maxQueuedPerAccount= */ 10_000,
            /* startWindowMillis= */ 2_000,
            /* reserveTimeoutMillis= */ 2_000,
            /* checkpointTimeoutMillis= */ 2_000,
            /* throttleTimeoutMillis= */ 500,
            /* stopTimeoutMillis= */ 1_000,
            /* starvationMillis= */ 10_000,
            /* agingMillis= */ 5_000,
            /* maxFailedAttempts= */ 4,
            /* baseRetryDelayMillis= */ 200,
            /* retryPercent= */ 20,
            /* failuresForProbation= */ 3,
            /* initialProbeDelayMillis= */ 2_000,
            /* maxProbeDelayMillis= */ 60_000,
            /* firstSecondStarts= */ 8);

    /**
     * Returns the delay before a request is placed again, in milliseconds.
     *
     * @param attempts number of consecutive attempts without success
     */
    public long retryDelayMillis(int attempts) {
        return baseRetryDelayMillis << Math.min(attempts, MAX_DOUBLINGS);
    }

    /** Returns the maximum time in which claimed units are cleared of revocable work, in milliseconds. */
    public long maxReclaimMillis() {
        return checkpointTimeoutMillis + throttleTimeoutMillis + stopTimeoutMillis;
    }
}
