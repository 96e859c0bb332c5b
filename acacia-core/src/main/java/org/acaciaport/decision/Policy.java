package org.acaciaport.decision;

/**
 * Limits that the decisions keep to. Spans are policy; the state stores the deadlines made from them.
 *
 * <p>Immutable.
 *
 * @param maxQueued most waiting requests of one account
 * @param startWindowMillis how long a target may take to start a member after it was told
 * @param reserveMillis how long targets may take to agree to hold places
 * @param checkpointMillis how long a checkpoint may take
 * @param throttleMillis how long a throttle may take
 * @param stopMillis how long a stop may take before the target counts as unreachable
 * @param patienceMillis how long a request waits before places are set aside for it
 * @param agingMillis waiting time that is worth one step of priority
 * @param maxFailures failed attempts after which an idempotent request is answered as failed
 * @param retryMillis first pause before a failed request is tried again; doubles each time
 * @param retryPercent share of started attempts that may be retries, in percent
 * @param suspectsForProbation different failed requests of several accounts that put a target on probation
 * @param probeMillis first pause before a target on probation is probed; doubles each time
 * @param maxProbeMillis longest pause between probes
 * @param rampStarts starts in the first second after a data centre returns; doubles each second
 */
public record Policy(
        int maxQueued,
        long startWindowMillis,
        long reserveMillis,
        long checkpointMillis,
        long throttleMillis,
        long stopMillis,
        long patienceMillis,
        long agingMillis,
        int maxFailures,
        long retryMillis,
        int retryPercent,
        int suspectsForProbation,
        long probeMillis,
        long maxProbeMillis,
        int rampStarts) {
    private static final int MOST_DOUBLINGS = 6;

    /** The limits that the programs use. */
    public static final Policy STANDARD =
            new Policy(10_000, 2_000, 2_000, 2_000, 500, 1_000, 10_000, 5_000, 4, 200, 20, 3, 2_000, 60_000, 8);

    /** Returns the pause before a request is tried again after {@code times} tries in a row without success. */
    public long retryAfter(int times) {
        return retryMillis << Math.min(times, MOST_DOUBLINGS);
    }

    /** Returns the longest time from a claim to its accelerators being free, in milliseconds. */
    public long reclaimMillis() {
        return checkpointMillis + throttleMillis + stopMillis;
    }
}
