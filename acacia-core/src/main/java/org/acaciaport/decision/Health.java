package org.acaciaport.decision;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * How far a target is trusted to run work.
 *
 * <p>Immutable. A target with recent failures takes no gangs and nothing that can run only once. One on probation takes
 * nothing until its next probe, and then one task at a time until that succeeds.
 *
 * @param suspects requests that failed here since the last success, with their accounts
 * @param probation whether it is on probation
 * @param probes failed probes in a row
 * @param probeAt when the next probe may start, in milliseconds
 */
public record Health(PMap<String, String> suspects, boolean probation, int probes, long probeAt) {
    /** Trusted. */
    static final Health GOOD = new Health(HashTreePMap.empty(), false, 0, 0);

    /** Returns this health after {@code request} of {@code account} failed here. */
    Health withSuspect(String request, String account) {
        return new Health(suspects.plus(request, account), probation, probes, probeAt);
    }

    /** Returns this health without the failure of {@code request}, which is at fault itself. */
    Health withoutSuspect(String request) {
        return new Health(suspects.minus(request), probation, probes, probeAt);
    }

    /** Returns this health on probation until a probe at {@code at} succeeds. */
    Health onProbation(int failedProbes, long at) {
        return new Health(HashTreePMap.empty(), true, failedProbes, at);
    }

    /** Returns this health with a probe allowed. */
    Health probing() {
        return new Health(suspects.plus("probe", "probe"), false, probes, probeAt);
    }

    /** Returns whether the next task decides whether probation ends. */
    boolean probed() {
        return probes > 0 && !probation;
    }

    /** Returns how many different accounts saw failures here since the last success. */
    long accounts() {
        return suspects.values().stream().distinct().count();
    }
}
