package org.acaciaport.decision;

import java.util.List;
import java.util.Optional;

/**
 * Claims places for a job and starts the job once they are free.
 *
 * <p>A claim names the accelerators that each member of a job will occupy. They count as claimed while other work still
 * runs on them, so that no other job takes them once they become free, except as backfill of a drain.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Claims {
    private static final String PART = "claim";

    private final Draft draft;

    Claims(Draft draft) {
        this.draft = draft;
    }

    /**
     * Claims accelerators that are guaranteed to the account of {@code job}. Work that occupies them is preempted
     * within {@link Policy#maxReclaimMillis}.
     */
    void claimOwned(Job job, List<Member> members) {
        addClaim(job, members, false, draft.now() + draft.policy().maxReclaimMillis());
    }

    /**
     * Claims accelerators for a large job and drains them: work that cannot be preempted runs to its end before the job
     * starts.
     *
     * @param deadline when the accelerators must be free, in milliseconds; {@link Long#MAX_VALUE} if unbounded
     */
    void beginDrain(Job job, List<Member> members, long deadline) {
        draft.setLargeJob(Optional.of(job.id()));
        addClaim(job, members, true, deadline);
    }

    private void addClaim(Job job, List<Member> members, boolean drain, long deadline) {
        Attempt attempt = new Attempt(draft.nextAttemptNumber(), members, 0);
        draft.dequeue(job);
        Phase.Claiming claiming = new Phase.Claiming(attempt, drain, draft.now(), deadline);
        draft.targets().addClaim(job, claiming);
        Job claimed = job.with(claiming);
        draft.put(claimed);
        draft.note(
                PART,
                job,
                "attempt=" + attempt.number() + " drain=" + drain + " deadline=" + deadline + " targets="
                        + members.stream().map(Member::target).toList());
        advance(claimed);
    }

    /** Starts {@code job} if the accelerators that it claims are free; otherwise preempts what may be preempted now. */
    void advance(Job job) {
        if (!(job.phase() instanceof Phase.Claiming claiming)) {
            return;
        }
        String reason = unusableReason(job, claiming);
        if (reason != null) {
            abandon(job, claiming, reason);
            return;
        }
        if (isReady(job, claiming)) {
            if (draft.rules().mayStart(draft.state(), draft.gate(), draft.now())) {
                start(job, claiming);
            }
            return;
        }
        if (!claiming.forLargeJob() || canClear(job, claiming)) {
            new Revoker(draft).preemptFor(job, claiming.attempt(), claiming.forLargeJob());
        }
    }

    /** Releases the claim and queues {@code job} again after the retry delay. */
    void abandon(Job job, Phase.Claiming claiming, String why) {
        draft.note(PART, job, "abandoned attempt=" + claiming.attempt().number() + " why=" + why);
        release(job, claiming);
        draft.defer(job, draft.now() + draft.policy().baseRetryDelayMillis());
    }

    /** Releases the claim without queueing {@code job} again. */
    void release(Job job, Phase.Claiming claiming) {
        draft.targets().removeClaim(job, claiming);
        if (claiming.forLargeJob()) {
            draft.setLargeJob(Optional.empty());
        }
    }

    private void start(Job job, Phase.Claiming claiming) {
        release(job, claiming);
        new Starter(draft).begin(job, claiming.attempt());
    }

    /** Returns why a claimed place can no longer be used, or null if all of them can. */
    private String unusableReason(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            TargetState target = draft.fleet().target(member.target());
            if (target == null || !target.isUsable() || target.health().onProbation()) {
                return "target " + member.target() + " is out of use";
            }
            if (!stillFits(job, claiming, member, target)) {
                return "target " + member.target() + " has other owners now";
            }
        }
        return null;
    }

    /**
     * Returns whether the claimed place of {@code member} is still compatible with the guarantees on {@code target}.
     */
    private boolean stillFits(Job job, Phase.Claiming claiming, Member member, TargetState target) {
        if (claiming.forLargeJob()) {
            return claiming.hasDeadline()
                    ? Admission.fitsBesideGuarantees(target, job)
                    : Admission.fitsWhenEmpty(target, job);
        }
        boolean owns = target.owned().getOrDefault(job.account(), 0) >= member.units();
        return owns && preservesGuarantees(job, claiming, member, target);
    }

    /** Applies {@link Rules#preservesGuarantees} as if the job had no claim on {@code target} yet. */
    private boolean preservesGuarantees(Job job, Phase.Claiming claiming, Member member, TargetState target) {
        if (job.profile().revocable()) {
            return true;
        }
        Load withoutOwnClaim =
                claiming.hasDeadline() ? target.load().withClaim(job.account(), -member.units(), false) : target.load();
        return draft.rules().preservesGuarantees(target.with(withoutOwnClaim), job.account(), member.units());
    }

    /**
     * Returns whether the accelerators that {@code job} claims are idle. Claims of guaranteed accelerators go first, in
     * order of age; a drain may use only what all other claims leave.
     */
    private boolean isReady(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            TargetState target = draft.fleet().target(member.target());
            int idle = target.capacity() - target.load().used();
            int reserved = claiming.forLargeJob()
                    ? target.load().claimed() - member.units()
                    : olderClaims(job, claiming, target);
            boolean preserved = preservesGuarantees(job, claiming, member, target);
            if (idle - reserved < member.units() || !preserved) {
                return false;
            }
        }
        return true;
    }

    /** Returns the accelerators of {@code target} in older claims of guaranteed accelerators. */
    private int olderClaims(Job job, Phase.Claiming claiming, TargetState target) {
        int units = 0;
        for (String id : target.load().jobs()) {
            Job other = draft.job(id);
            boolean older = other != null
                    && other.phase() instanceof Phase.Claiming claim
                    && !claim.forLargeJob()
                    && claim.attempt().number() < claiming.attempt().number();
            units += older ? other.unitsOn(target.id()) : 0;
        }
        return units;
    }

    /** Returns whether preemption alone can free the accelerators that {@code job} claims. */
    boolean canClear(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            if (!Victims.canClear(draft, draft.fleet().target(member.target()), job, member.units())) {
                return false;
            }
        }
        return true;
    }
}
