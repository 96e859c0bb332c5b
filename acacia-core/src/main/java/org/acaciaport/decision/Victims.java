package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Chooses which running work is taken off a target for a claim. Changes nothing.
 *
 * <p>Stateless.
 */
final class Victims {
    private static final Comparator<Job> LEAST_URGENT_THEN_YOUNGEST = Comparator.comparingInt(
                    (Job j) -> j.profile().priority())
            .thenComparing(Comparator.comparingLong(Victims::startedAt).reversed())
            .thenComparing(Job::id);

    private Victims() {}

    /** Returns the accelerators on {@code target} of the claimant's own revocable work of a lower priority. */
    static int ownPreemptibleUnits(Draft draft, TargetState target, Job claimant) {
        if (target.load().usageOf(claimant.account()).revocable() == 0) {
            return 0;
        }
        int units = 0;
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            if (job != null && job.account().equals(claimant.account()) && lower(job, claimant)) {
                units += unitsOn(job, target);
            }
        }
        return units;
    }

    /**
     * Returns work to take off {@code target} so that the claimant's promised accelerators become free: what other
     * accounts borrow there, then the claimant's own work of a lower priority, or all of its own if {@code drain}.
     */
    static List<Job> select(Draft draft, TargetState target, Job claimant, boolean drain) {
        int others = drain ? 0 : target.load().setAside();
        int missing = -target.free() - others - target.load().revoking();
        if (missing <= 0) {
            return List.of();
        }
        List<Job> candidates = new ArrayList<>();
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            if (job != null && mayTake(job, target, claimant, drain)) {
                candidates.add(job);
            }
        }
        candidates.sort(LEAST_URGENT_THEN_YOUNGEST);
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

    /** Returns whether enough of {@code target} is free or can be taken off for the claimant's {@code units}. */
    static boolean clearable(Draft draft, TargetState target, Job claimant, int units) {
        int kept = 0;
        for (Map.Entry<String, AccountUsage> entry : target.load().usage().entrySet()) {
            AccountUsage use = entry.getValue();
            boolean own = entry.getKey().equals(claimant.account());
            int owned = own ? 0 : target.owned().getOrDefault(entry.getKey(), 0);
            int staying = use.irrevocable() + spared(draft, target, claimant, entry.getKey());
            kept += Math.max(staying, Math.min(owned, use.total()));
        }
        int othersClaims = target.load().claimed() - units;
        return target.capacity() - kept - othersClaims >= units;
    }

    /** Returns whether a job is left alone when places are set aside: else two large jobs could evict each other. */
    static boolean isSpared(Job job, Job claimant) {
        return job.profile().shape().accelerators()
                >= claimant.profile().shape().accelerators();
    }

    private static int spared(Draft draft, TargetState target, Job claimant, String account) {
        int units = 0;
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            if (job != null && job.account().equals(account) && job.profile().revocable() && isSpared(job, claimant)) {
                units += unitsOn(job, target);
            }
        }
        return units;
    }

    /** Returns the accelerators that {@code job} occupies on {@code target}. */
    static int unitsOn(Job job, TargetState target) {
        return job.phase() instanceof Phase.Claiming ? 0 : job.unitsOn(target.id());
    }

    private static boolean mayTake(Job job, TargetState target, Job claimant, boolean drain) {
        boolean spared = drain && isSpared(job, claimant);
        if (!removable(job.phase()) || !job.profile().revocable() || spared) {
            return false;
        }
        if (job.account().equals(claimant.account())) {
            return drain || lower(job, claimant);
        }
        return target.borrowedBy(job.account()) > 0;
    }

    private static boolean removable(Phase phase) {
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

    private static boolean lower(Job job, Job claimant) {
        return job.profile().revocable()
                && job.profile().priority() < claimant.profile().priority();
    }

    private static long startedAt(Job job) {
        return job.phase() instanceof Phase.Running running ? running.startedAt() : 0;
    }
}
