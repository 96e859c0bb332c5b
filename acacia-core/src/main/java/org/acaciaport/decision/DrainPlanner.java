package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.acaciaport.config.Adjacency;

/**
 * Drains targets for the large job that has waited longest: sets places on them aside for this job, one job at a time,
 * and finds backfill for these places meanwhile.
 *
 * <p>The planner prefers targets on which the job fits beside the guarantees of other accounts, and among these the
 * ones whose work that cannot be preempted ends first. Since every run has a limit, such a drain has a deadline. A job
 * that fits only on accelerators guaranteed to other accounts is drained for as well, but their claims go first, so its
 * drain has no deadline.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class DrainPlanner {
    private static final String PART = "drain";

    private final Draft draft;

    DrainPlanner(Draft draft) {
        this.draft = draft;
    }

    /** Begins the next drain if none is in progress. */
    void planNext() {
        if (!draft.rules().drainsForLargeJobs() || draft.largeJob().isPresent()) {
            return;
        }
        Job oldest = null;
        for (String account : draft.queues().accounts()) {
            for (String id : draft.queues().heads(account)) {
                Job job = draft.job(id);
                if (isEligible(job) && (oldest == null || job.sequence() < oldest.sequence())) {
                    oldest = job;
                }
            }
        }
        if (oldest != null) {
            beginDrain(oldest);
        }
    }

    /**
     * Returns a place for {@code job} on accelerators that are being drained but idle, if it will not delay the large
     * job. There is no backfill once preemption alone can finish the drain.
     *
     * @return a list of one member, or an empty list
     */
    List<Member> findBackfill(Job job) {
        Job largeJob = draft.largeJob().map(draft::job).orElse(null);
        if (largeJob == null || job.profile().runsAsGang() || !(largeJob.phase() instanceof Phase.Claiming claiming)) {
            return List.of();
        }
        boolean drainBlocked = !new Claims(draft).canClear(largeJob, claiming);
        if (!draft.rules().mayBackfill(drainBlocked, endsInTime(job, claiming.deadline()))) {
            return List.of();
        }
        for (Member member : claiming.attempt().members()) {
            TargetState target = draft.fleet().target(member.target());
            int units = job.profile().unitsOn(target.target());
            int available = target.free() + member.units();
            boolean fits = job.profile().revocable() || draft.rules().preservesGuarantees(target, job.account(), units);
            boolean allowed = draft.rules().acceptsWork(target)
                    && !job.avoidedTargets().contains(target.id())
                    && target.health().accountsByFailedRequest().isEmpty();
            if (fits && allowed && available >= units) {
                return List.of(new Member(0, target.id(), units));
            }
        }
        return List.of();
    }

    /**
     * Returns whether {@code job} is expected to end by {@code deadline} if it starts now. The estimate comes from
     * observed run times; irrevocable work must also meet the deadline at its run limit, since it cannot be preempted.
     */
    private boolean endsInTime(Job job, long deadline) {
        OptionalLong high = draft.runTimes(job.profile().name()).highPercentileMillis();
        boolean expected = high.isEmpty() || draft.now() + high.getAsLong() <= deadline;
        return job.profile().revocable()
                ? expected
                : expected
                        && deadline != Long.MAX_VALUE
                        && latestEnd(job) + 2 * draft.policy().maxReclaimMillis() <= deadline;
    }

    /** Returns whether {@code job} is large and has waited long enough for a drain. */
    private boolean isEligible(Job job) {
        long waited = draft.now() - job.request().acceptedAt();
        return waited >= draft.policy().starvationMillis() && isLarge(job);
    }

    /** Returns whether {@code job} is a gang or needs more accelerators than are free on any one target. */
    private boolean isLarge(Job job) {
        return job.profile().runsAsGang()
                || draft.fleet().largestFree() < job.profile().shape().acceleratorsPerTarget();
    }

    private void beginDrain(Job job) {
        int needed = job.profile().shape().targets();
        Plan best = null;
        if (job.profile().shape().adjacency() == Adjacency.SAME_RACK) {
            for (List<String> rack : draft.fleet().racks().values()) {
                best = better(best, earliestPlan(job, rack, needed));
            }
        } else {
            List<String> all = new ArrayList<>(draft.fleet().targets().keySet());
            best = earliestPlan(job, all, needed);
        }
        if (best == null) {
            return;
        }
        long deadline =
                best.besideGuarantees() ? best.clearAt() + 2 * draft.policy().maxReclaimMillis() : Long.MAX_VALUE;
        draft.note(
                PART,
                job,
                "places set aside clearAt=" + best.clearAt() + " waited="
                        + (draft.now() - job.request().acceptedAt()));
        List<Member> members = new Placement(draft, job).membersOn(best.targets());
        new Claims(draft).beginDrain(job, members, deadline);
    }

    /**
     * A set of targets to drain for a large job.
     *
     * @param targets the targets, one per member
     * @param clearAt when the work on them that cannot be preempted will have ended at the latest, in milliseconds
     * @param besideGuarantees whether the job fits on each of them beside the guarantees of other accounts
     */
    private record Plan(List<TargetState> targets, long clearAt, boolean besideGuarantees) {}

    /** Returns the plan that respects guarantees, or else the one that is clear first; either may be null. */
    private static Plan better(Plan left, Plan right) {
        if (left == null || right == null) {
            return left == null ? right : left;
        }
        if (left.besideGuarantees() != right.besideGuarantees()) {
            return left.besideGuarantees() ? left : right;
        }
        return right.clearAt() < left.clearAt() ? right : left;
    }

    /** Returns the plan over {@code targets} that is clear first, or null if fewer than {@code needed} are suitable. */
    private Plan earliestPlan(Job job, List<String> targets, int needed) {
        List<Candidate> candidates = new ArrayList<>();
        for (String id : targets) {
            TargetState target = draft.fleet().target(id);
            if (target.isTrusted() && Admission.fitsWhenEmpty(target, job)) {
                candidates.add(new Candidate(target, clearAt(target, job)));
            }
        }
        if (candidates.size() < needed) {
            return null;
        }
        candidates.sort(Comparator.comparing((Candidate c) -> !Admission.fitsBesideGuarantees(c.target(), job))
                .thenComparingLong(Candidate::clearAt)
                .thenComparingInt(c -> -c.target().free())
                .thenComparing(c -> c.target().id()));
        List<TargetState> chosen =
                candidates.subList(0, needed).stream().map(Candidate::target).toList();
        long clearAt = candidates.subList(0, needed).stream()
                .mapToLong(Candidate::clearAt)
                .max()
                .orElse(draft.now());
        boolean besideGuarantees = chosen.stream().allMatch(t -> Admission.fitsBesideGuarantees(t, job));
        return new Plan(chosen, clearAt, besideGuarantees);
    }

    /**
     * A target that could be drained, and when the work on it that cannot be preempted will have ended at the latest.
     */
    private record Candidate(TargetState target, long clearAt) {}

    /**
     * Returns when the work on {@code target} that a drain cannot preempt will have ended at the latest, in
     * milliseconds.
     */
    private long clearAt(TargetState target, Job largeJob) {
        long latest = draft.now();
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            boolean stays = job != null
                    && !(job.phase() instanceof Phase.Claiming)
                    && (!job.profile().revocable() || Victims.isSpared(job, largeJob));
            if (stays) {
                latest = Math.max(latest, latestEnd(job));
            }
        }
        return latest;
    }

    /**
     * Returns when {@code job} will have left its targets at the latest, in milliseconds. A job that is not running yet
     * may still need two steps of up to {@link Policy#reserveTimeoutMillis} each before its run begins.
     */
    private long latestEnd(Job job) {
        long runEnd = job.phase() instanceof Phase.Running running
                ? running.runDeadline()
                : draft.now()
                        + job.profile().runLimitMillis()
                        + 2 * draft.policy().reserveTimeoutMillis();
        return runEnd + draft.policy().stopTimeoutMillis();
    }
}
