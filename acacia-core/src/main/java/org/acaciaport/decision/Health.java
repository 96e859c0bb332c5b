package org.acaciaport.decision;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How far a target is trusted to run work.
 *
 * <p>Immutable. A target with recent failures takes no gangs and nothing that can run only once. One on probation takes
 * nothing until its next probe, and then one task at a time until that succeeds.
 *
 * @param accountsByFailedRequest requests that failed here since the last success, with their accounts
 * @param onProbation whether it is on probation
 * @param failedProbes failed probes in a row
 * @param nextProbeAt when the next probe may start, in milliseconds
 */
public record Health(
        PMap<String, String> accountsByFailedRequest, boolean onProbation, int failedProbes, long nextProbeAt) {
    /** Trusted. */
    static final Health HEALTHY = new Health(HashTreePMap.empty(), false, 0, 0);

    /** Returns this health after {@code request} of {@code account} failed here. */
    Health withFailedRequest(String request, String account) {
        return new Health(accountsByFailedRequest.plus(request, account), onProbation, failedProbes, nextProbeAt);
    }

    /** Returns this health without the failure of {@code request}, which is at fault itself. */
    Health withoutFailedRequest(String request) {
        return new Health(accountsByFailedRequest.minus(request), onProbation, failedProbes, nextProbeAt);
    }

    /** Returns this health on probation until a probe at {@code at} succeeds. */
    Health withProbation(int failedProbes, long at) {
        return new Health(HashTreePMap.empty(), true, failedProbes, at);
    }

    /** Returns this health with a probe allowed. */
    Health withProbeAllowed() {
        return new Health(accountsByFailedRequest.plus("probe", "probe"), false, failedProbes, nextProbeAt);
    }

    /** Returns whether the next task decides whether probation ends. */
    boolean awaitsProbeResult() {
        return failedProbes > 0 && !onProbation;
    }

    /** Returns how many different accounts saw failures here since the last success. */
    long countAffectedAccounts() {
        return accountsByFailedRequest.values().stream().distinct().count();
    }
}
