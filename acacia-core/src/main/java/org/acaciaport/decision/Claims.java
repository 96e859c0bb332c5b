package org.acaciaport.decision;

import java.util.List;
import java.util.Optional;

/**
 * Promises occupied places to a job and starts it once they are free.
 *
 * <p>Confined to one decision.
 */
final class Claims {
    private static final String PART = "claim";

    private final Draft draft;

    Claims(Draft draft) {
        this.draft = draft;
    }

    /** Claims places within the account's own share; whoever borrows them is taken off within the reclaim limit. */
    void claimOwned(Job job, List<Member> members) {
        promise(job, members, false, draft.now() + draft.policy().maxReclaimMillis());
    }

    /** Sets places aside for a large job; irrevocable work on them runs to its end first. */
    void beginDrain(Job job, List<Member> members, long deadline) {
        draft.setLargeJob(Optional.of(job.id()));
        promise(job, members, true, deadline);
    }

    private void promise(Job job, List<Member> members, boolean drain, long deadline) {
        Attempt attempt = new Attempt(draft.nextAttemptNumber(), members, 0);
        draft.dequeue(job);
        Phase.Claiming claiming = new Phase.Claiming(attempt, drain, draft.now(), deadline);
        draft.addClaim(job, claiming);
        Job claimed = job.with(claiming);
        draft.put(claimed);
        draft.note(
                PART,
                job,
                "attempt=" + attempt.number() + " drain=" + drain + " deadline=" + deadline + " targets="
                        + members.stream().map(Member::target).toList());
        advance(claimed);
    }

    /** Starts the job if its places are free, else takes off whatever may be taken off now. */
    void advance(Job job) {
        if (!(job.phase() instanceof Phase.Claiming claiming)) {
            return;
        }
        String lost = unusable(job, claiming);
        if (lost != null) {
            abandon(job, claiming, lost);
            return;
        }
        if (ready(job, claiming)) {
            if (draft.rules().mayStart(draft.state(), draft.gate(), draft.now())) {
                convert(job, claiming);
            }
            return;
        }
        if (!claiming.forLargeJob() || clearable(job, claiming)) {
            new Revoker(draft).preemptFor(job, claiming.attempt(), claiming.forLargeJob());
        }
    }

    /** Gives the promised places up and queues the job again. */
    void abandon(Job job, Phase.Claiming claiming, String why) {
        draft.note(PART, job, "abandoned attempt=" + claiming.attempt().number() + " why=" + why);
        release(job, claiming);
        draft.defer(job, draft.now() + draft.policy().baseRetryDelayMillis());
    }

    /** Gives the promised places up. */
    void release(Job job, Phase.Claiming claiming) {
        draft.removeClaim(job, claiming);
        if (claiming.forLargeJob()) {
            draft.setLargeJob(Optional.empty());
        }
    }

    private void convert(Job job, Phase.Claiming claiming) {
        release(job, claiming);
        new Starter(draft).begin(job, claiming.attempt());
    }

    /** Returns why a promised place cannot be used any more, or null. */
    private String unusable(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            TargetState target = draft.fleet().target(member.target());
            if (target == null || !target.isUsable() || target.health().onProbation()) {
                return "target " + member.target() + " is out of use";
            }
            if (!fits(job, claiming, member, target)) {
                return "target " + member.target() + " has other owners now";
            }
        }
        return null;
    }

    private boolean fits(Job job, Phase.Claiming claiming, Member member, TargetState target) {
        if (claiming.forLargeJob()) {
            return claiming.hasDeadline()
                    ? Admission.fitsBesideGuarantees(target, job)
                    : Admission.fitsWhenEmpty(target, job);
        }
        boolean owns = target.owned().getOrDefault(job.account(), 0) >= member.units();
        return owns && preservesGuarantees(job, claiming, member, target);
    }

    /** Asks the rule as if the job's own claim on the target did not exist. */
    private boolean preservesGuarantees(Job job, Phase.Claiming claiming, Member member, TargetState target) {
        if (job.profile().revocable()) {
            return true;
        }
        Load others =
                claiming.hasDeadline() ? target.load().withClaim(job.account(), -member.units(), false) : target.load();
        return draft.rules().preservesGuarantees(target.with(others), job.account(), member.units());
    }

    /** Claims within shares come first; places set aside count only what all other claims leave. */
    private boolean ready(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            TargetState target = draft.fleet().target(member.target());
            int idle = target.capacity() - target.load().used();
            int others = claiming.forLargeJob()
                    ? target.load().claimed() - member.units()
                    : olderClaims(job, claiming, target);
            boolean kept = preservesGuarantees(job, claiming, member, target);
            if (idle - others < member.units() || !kept) {
                return false;
            }
        }
        return true;
    }

    /** Returns the accelerators of {@code target} promised to claims within shares that are older than this one. */
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

    /** Returns whether only revocable work stands between the job and its places. */
    boolean clearable(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            if (!Victims.clearable(draft, draft.fleet().target(member.target()), job, member.units())) {
                return false;
            }
        }
        return true;
    }
}
