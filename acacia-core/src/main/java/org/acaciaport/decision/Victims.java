package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Selection of the work that is preempted on a target for a claim. The <i>claimant</i> is the job that holds the claim.
 *
 * <p>The methods read the draft and never change it.
 */
final class Victims {
    private static final Comparator<Job> LOWEST_PRIORITY_THEN_NEWEST = Comparator.comparingInt(
                    (Job j) -> j.profile().priority())
            .thenComparing(Comparator.comparingLong(Victims::startedAt).reversed())
            .thenComparing(Job::id);

    private Victims() {}

    /**
     * Returns how many accelerators of {@code target} are occupied by revocable work that belongs to the account of the
     * claimant and has a lower priority than the claimant.
     */
    static int ownPreemptibleUnits(Draft draft, TargetState target, Job claimant) {
        if (target.load().usageOf(claimant.account()).revocable() == 0) {
            return 0;
        }
        int units = 0;
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            if (job != null && job.account().equals(claimant.account()) && hasLowerPriority(job, claimant)) {
                units += unitsOn(job, target);
            }
        }
        return units;
    }

    /**
     * Returns the jobs to preempt on {@code target} so that the accelerators claimed there become free, lowest priority
     * first and the newest first among equals.
     *
     * <p>Candidates are revocable jobs of accounts that occupy more than their guarantee there, and those of the
     * claimant's own account: the ones with a lower priority, or all of them for a drain. A drain spares jobs as
     * described at {@link #isSpared}.
     *
     * @param drain whether the claim is a drain for a large job
     * @return the jobs, or an empty list if enough accelerators are free or being revoked already
     */
    static List<Job> select(Draft draft, TargetState target, Job claimant, boolean drain) {
        // A claim of guaranteed accelerators goes before drains: it takes what is set aside and preempts only the rest.
        int setAside = drain ? 0 : target.load().setAside();
        int missing = -target.free() - setAside - target.load().revoking();
        if (missing <= 0) {
            return List.of();
        }
        List<Job> candidates = new ArrayList<>();
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            if (job != null && mayPreempt(job, target, claimant, drain)) {
                candidates.add(job);
            }
        }
        candidates.sort(LOWEST_PRIORITY_THEN_NEWEST);
        List<Job> chosen = new ArrayList<>();
        for (Job job : candidates) {
            if (missing <= 0) {
                break;
            }
            chosen.add(job);
            missing -= unitsOn(job, target);
        }
        return chosen;
    }

    /**
     * Returns whether {@code target} has {@code units} accelerators that are free or can be preempted for the claimant.
     */
    static boolean canClear(Draft draft, TargetState target, Job claimant, int units) {
        int retained = 0;
        for (Map.Entry<String, AccountUsage> entry : target.load().usage().entrySet()) {
            AccountUsage use = entry.getValue();
            boolean own = entry.getKey().equals(claimant.account());
            int owned = own ? 0 : target.owned().getOrDefault(entry.getKey(), 0);
            int unpreemptible = use.irrevocable() + sparedUnits(draft, target, claimant, entry.getKey());
            retained += Math.max(unpreemptible, Math.min(owned, use.total()));
        }
        int othersClaims = target.load().claimed() - units;
        return target.capacity() - retained - othersClaims >= units;
    }

    /**
     * Returns whether a drain for {@code claimant} leaves {@code job} running because it is at least as large. If the
     * drain did not, two large jobs could preempt each other in turn.
     */
    static boolean isSpared(Job job, Job claimant) {
        return job.profile().shape().accelerators()
                >= claimant.profile().shape().accelerators();
    }

    private static int sparedUnits(Draft draft, TargetState target, Job claimant, String account) {
        int units = 0;
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            if (job != null && job.account().equals(account) && job.profile().revocable() && isSpared(job, claimant)) {
                units += unitsOn(job, target);
            }
        }
        return units;
    }

    /** Returns the accelerators that {@code job} occupies on {@code target}; claimed ones are not occupied. */
    static int unitsOn(Job job, TargetState target) {
        return job.phase() instanceof Phase.Claiming ? 0 : job.unitsOn(target.id());
    }

    private static boolean mayPreempt(Job job, TargetState target, Job claimant, boolean drain) {
        boolean spared = drain && isSpared(job, claimant);
        if (!isPreemptible(job.phase()) || !job.profile().revocable() || spared) {
            return false;
        }
        if (job.account().equals(claimant.account())) {
            return drain || hasLowerPriority(job, claimant);
        }
        return target.borrowedBy(job.account()) > 0;
    }

    private static boolean isPreemptible(Phase phase) {
        return switch (phase) {
            case Phase.Running running -> running.revocation().isEmpty();
            case Phase.Reserving reserving -> true;
            case Phase.Committing committing -> true;
            case Phase.Queued queued -> false;
            case Phase.Claiming claiming -> false;
            case Phase.Paused paused -> false;
            case Phase.HandingOver handingOver -> false;
        };
    }

    private static boolean hasLowerPriority(Job job, Job claimant) {
        return job.profile().revocable()
                && job.profile().priority() < claimant.profile().priority();
    }

    private static long startedAt(Job job) {
        return job.phase() instanceof Phase.Running running ? running.startedAt() : 0;
    }
}
