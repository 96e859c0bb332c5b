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
 * <p>Immutable. {@code used} is the sum of {@code use}; {@code claims} add up to at most {@code claimed}, and
 * {@code revoking} is at most {@code used}.
 *
 * @param use accelerators occupied, by account
 * @param used accelerators occupied by all accounts
 * @param claims accelerators promised with a deadline to claims that wait for them, by account
 * @param irrevocableClaims the part of {@code claims} for work that cannot be taken off
 * @param claimed accelerators promised in all
 * @param setAside the part of {@code claimed} that is set aside for a large job
 * @param revoking accelerators occupied by work that is being taken off
 * @param jobs identifiers of requests that occupy accelerators here or wait for promised ones
 * @param parked identifiers of requests paused here
 */
public record Load(
        PMap<String, Use> use,
        int used,
        PMap<String, Integer> claims,
        PMap<String, Integer> irrevocableClaims,
        int claimed,
        int setAside,
        int revoking,
        PSet<String> jobs,
        PSet<String> parked) {
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
    public Use of(String account) {
        return use.getOrDefault(account, Use.NONE);
    }

    /** Returns the accelerators promised to {@code account}. */
    public int claimedBy(String account) {
        return claims.getOrDefault(account, 0);
    }

    /** Returns the accelerators occupied by irrevocable work, by account. */
    public Map<String, Integer> irrevocable() {
        Map<String, Integer> result = new HashMap<>();
        for (Map.Entry<String, Use> entry : use.entrySet()) {
            if (entry.getValue().irrevocable() > 0) {
                result.put(entry.getKey(), entry.getValue().irrevocable());
            }
        }
        return result;
    }

    /** Returns the accelerators occupied by irrevocable work or promised to such work, by account. */
    Map<String, Integer> irrevocableWithClaims() {
        Map<String, Integer> result = irrevocable();
        irrevocableClaims.forEach((account, units) -> result.merge(account, units, Integer::sum));
        return result;
    }

    Load withUse(String account, int units, boolean revocable) {
        Use changed = of(account).plus(units, revocable);
        PMap<String, Use> next = changed.total() == 0 ? use.minus(account) : use.plus(account, changed);
        return new Load(next, used + units, claims, irrevocableClaims, claimed, setAside, revoking, jobs, parked);
    }

    Load withClaim(String account, int units, boolean revocable) {
        PMap<String, Integer> next = add(claims, account, units);
        PMap<String, Integer> hard = revocable ? irrevocableClaims : add(irrevocableClaims, account, units);
        return new Load(use, used, next, hard, claimed + units, setAside, revoking, jobs, parked);
    }

    /** Promises places for a large job without a deadline, which the claims of owners may come before. */
    Load withoutDeadline(int units) {
        return new Load(use, used, claims, irrevocableClaims, claimed + units, setAside, revoking, jobs, parked);
    }

    Load withSetAside(int units) {
        return new Load(use, used, claims, irrevocableClaims, claimed, setAside + units, revoking, jobs, parked);
    }

    private static PMap<String, Integer> add(PMap<String, Integer> map, String account, int units) {
        int changed = map.getOrDefault(account, 0) + units;
        return changed == 0 ? map.minus(account) : map.plus(account, changed);
    }

    Load withRevoking(int units) {
        return new Load(use, used, claims, irrevocableClaims, claimed, setAside, revoking + units, jobs, parked);
    }

    Load withJob(String job) {
        return new Load(use, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs.plus(job), parked);
    }

    Load withoutJob(String job) {
        return new Load(use, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs.minus(job), parked);
    }

    Load withParked(String job) {
        return new Load(use, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs, parked.plus(job));
    }

    Load withoutParked(String job) {
        return new Load(use, used, claims, irrevocableClaims, claimed, setAside, revoking, jobs, parked.minus(job));
    }
}
