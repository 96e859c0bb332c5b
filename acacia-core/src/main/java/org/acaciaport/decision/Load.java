package org.acaciaport.decision;

import java.util.HashMap;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The work on one target.
 *
 * <p>Immutable. {@code used} is the sum of {@code usage}; {@code claims} add up to at most {@code claimed}, and
 * {@code revoking} is at most {@code used}.
 *
 * @param usage accelerators occupied, by account
 * @param used accelerators occupied by all accounts
 * @param claims accelerators promised with a deadline to claims that wait for them, by account
 * @param irrevocableClaims the part of {@code claims} for work that cannot be taken off
 * @param claimed accelerators promised in all
 * @param setAside the part of {@code claimed} that is set aside for a large job
 * @param revoking accelerators occupied by work that is being taken off
 * @param jobs identifiers of requests that occupy accelerators here or wait for promised ones
 * @param paused identifiers of requests paused here
 */
public record Load(
        PMap<String, AccountUsage> usage,
        int used,
        PMap<String, Integer> claims,
        PMap<String, Integer> irrevocableClaims,
        int claimed,
        int setAside,
        int revoking,
        PSet<String> jobs,
        PSet<String> paused) {
    /** No work. */
    static final Load NONE = new Load(
            HashTreePMap.empty(),
            0,
            HashTreePMap.empty(),
            HashTreePMap.empty(),
            0,
            0,
            0,
            HashTreePSet.empty(),
            HashTreePSet.empty());

    /** Returns what {@code account} occupies. */
    public AccountUsage usageOf(String account) {
        return usage.getOrDefault(account, AccountUsage.NONE);
    }

    /** Returns the accelerators promised to {@code account}. */
    public int claimedBy(String account) {
        return claims.getOrDefault(account, 0);
    }

    /** Returns the accelerators occupied by irrevocable work, by account. */
    public Map<String, Integer> irrevocableByAccount() {
        Map<String, Integer> result = new HashMap<>();
        for (Map.Entry<String, AccountUsage> entry : usage.entrySet()) {
            if (entry.getValue().irrevocable() > 0) {
                result.put(entry.getKey(), entry.getValue().irrevocable());
            }
        }
        return result;
    }

    /** Returns the accelerators occupied by irrevocable work or promised to such work, by account. */
    Map<String, Integer> irrevocableWithClaimsByAccount() {
        Map<String, Integer> result = irrevocableByAccount();
        irrevocableClaims.forEach((account, units) -> result.merge(account, units, Integer::sum));
        return result;
    }

    Load withUsage(String account, int units, boolean revocable) {
        AccountUsage changed = usageOf(account).plus(units, revocable);
        PMap<String, AccountUsage> next = changed.total() == 0 ? usage.minus(account) : usage.plus(account, changed);
        return new Load(next, used + units, claims, irrevocableClaims, claimed, setAside, revoking, jobs, paused);
    }

    Load withClaim(String account, int units, boolean revocable) {
        PMap<String, Integer> next = add(claims, account, units);
        PMap<String, Integer> hard = revocable ? irrevocableClaims : add(irrevocableClaims, account, units);
        return new Load(usage, used, next, hard, claimed + units, setAside, revoking, jobs, paused);
    }

    /** Promises places for a large job without a deadline, which the claims of owners may come before. */
    Load withUnboundedClaim(int units) {
        return new Load(usage, used, claims, irrevocableClaims, claimed + units, setAside, revoking, jobs, paused);
    }

    Load withSetAside(int units) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside + units, revoking, jobs, paused);
    }

    private static PMap<String, Integer> add(PMap<String, Integer> map, String account, int units) {
        int changed = map.getOrDefault(account, 0) + units;
        return changed == 0 ? map.minus(account) : map.plus(account, changed);
    }

    Load withRevoking(int units) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside, revoking + units, jobs, paused);
    }

    Load withJob(String job) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs.plus(job), paused);
    }

    Load withoutJob(String job) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs.minus(job), paused);
    }

    Load withPaused(String job) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs, paused.plus(job));
    }

    Load withoutPaused(String job) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs, paused.minus(job));
    }
}
