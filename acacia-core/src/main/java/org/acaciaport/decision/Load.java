package org.acaciaport.decision;

import java.util.HashMap;
import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The work on one target and the claims on it, counted in units.
 *
 * <p>Immutable. {@code used} is the sum of {@code usage}; {@code claims} add up to at most {@code claimed}, and
 * {@code revoking} is at most {@code used}.
 *
 * @param usage units occupied, by account
 * @param used units occupied by all accounts
 * @param claims units claimed with a deadline, by account
 * @param irrevocableClaims the part of {@code claims} that is for irrevocable work
 * @param claimed units claimed by all accounts, with or without a deadline
 * @param setAside the part of {@code claimed} that is set aside for a large job
 * @param revoking units occupied by work that is being revoked
 * @param jobs identifiers of the requests that occupy or claim units here
 * @param paused identifiers of the requests that are paused here
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
    /** No work and no claims. */
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

    /** Returns the units that {@code account} occupies. */
    public AccountUsage usageOf(String account) {
        return usage.getOrDefault(account, AccountUsage.NONE);
    }

    /** Returns the units that {@code account} claims with a deadline. */
    public int claimedBy(String account) {
        return claims.getOrDefault(account, 0);
    }

    /** Returns the units occupied by irrevocable work, by account. */
    public Map<String, Integer> irrevocableByAccount() {
        Map<String, Integer> result = new HashMap<>();
        for (Map.Entry<String, AccountUsage> entry : usage.entrySet()) {
            if (entry.getValue().irrevocable() > 0) {
                result.put(entry.getKey(), entry.getValue().irrevocable());
            }
        }
        return result;
    }

    /** Returns the units that irrevocable work occupies or claims with a deadline, by account. */
    Map<String, Integer> irrevocableWithClaimsByAccount() {
        Map<String, Integer> result = irrevocableByAccount();
        irrevocableClaims.forEach((account, units) -> result.merge(account, units, Integer::sum));
        return result;
    }

    /** Returns this load with {@code units}, which may be negative, added to what {@code account} occupies. */
    Load withUsage(String account, int units, boolean revocable) {
        AccountUsage changed = usageOf(account).plus(units, revocable);
        PMap<String, AccountUsage> next = changed.total() == 0 ? usage.minus(account) : usage.plus(account, changed);
        return new Load(next, used + units, claims, irrevocableClaims, claimed, setAside, revoking, jobs, paused);
    }

    /** Returns this load with {@code units}, which may be negative, added to what {@code account} claims. */
    Load withClaim(String account, int units, boolean revocable) {
        PMap<String, Integer> next = addUnits(claims, account, units);
        PMap<String, Integer> nextIrrevocable =
                revocable ? irrevocableClaims : addUnits(irrevocableClaims, account, units);
        return new Load(usage, used, next, nextIrrevocable, claimed + units, setAside, revoking, jobs, paused);
    }

    /**
     * Returns this load with {@code units} added that a large job claims without a deadline. They are not counted for
     * the account, so the claims of owners come first.
     */
    Load withUnboundedClaim(int units) {
        return new Load(usage, used, claims, irrevocableClaims, claimed + units, setAside, revoking, jobs, paused);
    }

    /** Returns this load with {@code units}, which are claimed already, counted as set aside for a large job. */
    Load withSetAside(int units) {
        return new Load(usage, used, claims, irrevocableClaims, claimed, setAside + units, revoking, jobs, paused);
    }

    private static PMap<String, Integer> addUnits(PMap<String, Integer> map, String account, int units) {
        int changed = map.getOrDefault(account, 0) + units;
        return changed == 0 ? map.minus(account) : map.plus(account, changed);
    }

    /** Returns this load with {@code units}, which may be negative, added to those being revoked. */
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
