package org.acaciaport.decision;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The health of a target: a circuit breaker that keeps work off a target where requests keep failing.
 *
 * <p>Immutable. A target with failures since its last success takes no gangs and no work that may run only once. A
 * target on probation (circuit open) takes nothing until its next probe is due; then (half open) it takes one task at a
 * time, until one succeeds or fails.
 *
 * @param accountsByFailedRequest accounts of the requests that failed here since the last success, by request
 * @param onProbation whether the target takes no work until its next probe
 * @param consecutiveProbations how often the target was put on probation without a success in between
 * @param nextProbeAt when the next probe may start, in milliseconds
 */
public record Health(
        PMap<String, String> accountsByFailedRequest,
        boolean onProbation,
        int consecutiveProbations,
        long nextProbeAt) {
    /** Request and account of the placeholder failure. */
    private static final String PROBE = "probe";

    /** No failures. */
    static final Health HEALTHY = new Health(HashTreePMap.empty(), false, 0, 0);

    /** Returns this health with a failure of {@code request}, which belongs to {@code account}. */
    Health withFailedRequest(String request, String account) {
        return new Health(
                accountsByFailedRequest.plus(request, account), onProbation, consecutiveProbations, nextProbeAt);
    }

    /** Returns this health without the failure of {@code request}, for a request that fails on every target. */
    Health withoutFailedRequest(String request) {
        return new Health(accountsByFailedRequest.minus(request), onProbation, consecutiveProbations, nextProbeAt);
    }

    /** Returns this health on probation, with the next probe at {@code at}. */
    Health withProbation(int probations, long at) {
        return new Health(HashTreePMap.empty(), true, probations, at);
    }

    /**
     * Returns this health with the next task admitted as a probe. The placeholder failure keeps gangs and work that may
     * run only once off the target until the probe has succeeded.
     */
    Health withProbeAllowed() {
        return new Health(accountsByFailedRequest.plus(PROBE, PROBE), false, consecutiveProbations, nextProbeAt);
    }

    /** Returns whether the outcome of the next task, the probe, decides between trust and another probation. */
    boolean awaitsProbeResult() {
        return consecutiveProbations > 0 && !onProbation;
    }

    /** Returns how many different accounts have requests that failed here since the last success. */
    long countAffectedAccounts() {
        return accountsByFailedRequest.values().stream().distinct().count();
    }
}
