package org.acaciaport.decision;

/**
 * Limits that the decisions keep to. Spans are policy; the state stores the deadlines made from them.
 *
 * <p>Immutable.
 *
 * @param maxQueuedPerAccount most waiting requests of one account
 * @param startWindowMillis how long a target may take to start a member after it was told
 * @param reserveTimeoutMillis how long targets may take to agree to hold places
 * @param checkpointTimeoutMillis how long a checkpoint may take
 * @param throttleTimeoutMillis how long a throttle may take
 * @param stopTimeoutMillis how long a stop may take before the target counts as unreachable
 * @param starvationMillis how long a request waits before places are set aside for it
 * @param agingMillis waiting time that is worth one step of priority
 * @param maxFailedAttempts failed attempts after which an idempotent request is answered as failed
 * @param baseRetryDelayMillis pause before a request is tried again, before the doubling for each earlier try
 * @param retryPercent share of started attempts that may be retries, in percent
 * @param failuresForProbation different failed requests of several accounts that put a target on probation
 * @param initialProbeDelayMillis first pause before a target on probation is probed; doubles each time
 * @param maxProbeDelayMillis longest pause between probes
 * @param firstSecondStarts starts in the first second after a data centre returns; doubles each second
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
    private static final int MAX_DOUBLINGS = 6;

    /** The limits that the programs use. */
    public static final Policy STANDARD =
            new Policy(10_000, 2_000, 2_000, 2_000, 500, 1_000, 10_000, 5_000, 4, 200, 20, 3, 2_000, 60_000, 8);

    /** Returns the pause before a request is tried again after {@code times} tries in a row without success. */
    public long retryDelayMillis(int times) {
        return baseRetryDelayMillis << Math.min(times, MAX_DOUBLINGS);
    }

    /** Returns the longest time from a claim to its accelerators being free, in milliseconds. */
    public long maxReclaimMillis() {
        return checkpointTimeoutMillis + throttleTimeoutMillis + stopTimeoutMillis;
    }
}
