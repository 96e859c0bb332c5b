package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.acaciaport.config.Adjacency;

/**
 * Sets places aside for the large job that has waited longest, one at a time, and lends them out meanwhile.
 *
 * <p>The places chosen are those beside what other accounts own whose irrevocable work ends first. Since every run has
 * a limit, the wait of the job whose turn it is has a bound. A job that fits only on accelerators that others own gets
 * its turn too, but their claims come first, so its wait has none.
 *
 * <p>Confined to one decision.
 */
final class DrainPlanner {
    private static final String PART = "drain";

    private final Draft draft;

    DrainPlanner(Draft draft) {
        this.draft = draft;
    }

    /** Gives the next large job its turn if none has it. */
    void planNext() {
        if (!draft.rules().drainsForLargeJobs() || draft.largeJob().isPresent()) {
            return;
        }
        Job oldest = null;
        for (String account : draft.queues().accounts()) {
            for (String id : draft.queues().heads(account)) {
                Job job = draft.job(id);
                if (due(job) && (oldest == null || job.sequence() < oldest.sequence())) {
                    oldest = job;
                }
            }
        }
        if (oldest != null) {
            plan(oldest);
        }
    }

    /**
     * Returns places that are set aside but idle, which {@code job} may use without delaying their owner. None are lent
     * once the owner waits for nothing but revocable work.
     */
    List<Member> findBackfill(Job job) {
        Job owner = draft.largeJob().map(draft::job).orElse(null);
        if (owner == null || job.profile().gang() || !(owner.phase() instanceof Phase.Claiming claiming)) {
            return List.of();
        }
        boolean ownerWaits = !new Claims(draft).clearable(owner, claiming);
        if (!draft.rules().mayBackfill(ownerWaits, endsInTime(job, claiming.deadline()))) {
            return List.of();
        }
        for (Member member : claiming.attempt().members()) {
            TargetState target = draft.fleet().target(member.target());
            int units = job.profile().unitsOn(target.target());
            int idle = target.free() + member.units();
            boolean fits = job.profile().revocable() || draft.rules().preservesGuarantees(target, job.account(), units);
            boolean allowed = draft.rules().acceptsWork(target)
                    && !job.avoidedTargets().contains(target.id())
                    && target.health().accountsByFailedRequest().isEmpty();
            if (fits && allowed && idle >= units) {
                return List.of(new Member(0, target.id(), units));
            }
        }
        return List.of();
    }

    /** Trusts observed run times, and for irrevocable work the run limit besides. */
    private boolean endsInTime(Job job, long deadline) {
        OptionalLong high = draft.runTimes(job.profile().name()).highPercentileMillis();
        boolean likely = high.isEmpty() || draft.now() + high.getAsLong() <= deadline;
        return job.profile().revocable()
                ? likely
                : likely
                        && deadline != Long.MAX_VALUE
                        && endBy(job) + 2 * draft.policy().maxReclaimMillis() <= deadline;
    }

    private boolean due(Job job) {
        long waited = draft.now() - job.request().acceptedAt();
        return waited >= draft.policy().starvationMillis() && large(job);
    }

    private boolean large(Job job) {
        return job.profile().gang()
                || draft.fleet().largestFree() < job.profile().shape().acceleratorsPerTarget();
    }

    private void plan(Job job) {
        int needed = job.profile().shape().targets();
        Plan best = null;
        if (job.profile().shape().adjacency() == Adjacency.SAME_RACK) {
            for (List<String> rack : draft.fleet().racks().values()) {
                best = earlier(best, cheapest(job, rack, needed));
            }
        } else {
            List<String> all = new ArrayList<>(draft.fleet().targets().keySet());
            best = cheapest(job, all, needed);
        }
        if (best == null) {
            return;
        }
        long deadline = best.beside() ? best.clearAt() + 2 * draft.policy().maxReclaimMillis() : Long.MAX_VALUE;
        draft.note(
                PART,
                job,
                "places set aside clearAt=" + best.clearAt() + " waited="
                        + (draft.now() - job.request().acceptedAt()));
        List<Member> members = new Placement(draft, job).membersOn(best.targets());
        new Claims(draft).beginDrain(job, members, deadline);
    }

    /** Targets for one large job and the time by which their irrevocable work has ended. */
    private record Plan(List<TargetState> targets, long clearAt, boolean beside) {}

    private static Plan earlier(Plan left, Plan right) {
        if (left == null || right == null) {
            return left == null ? right : left;
        }
        if (left.beside() != right.beside()) {
            return left.beside() ? left : right;
        }
        return right.clearAt() < left.clearAt() ? right : left;
    }

    private Plan cheapest(Job job, List<String> targets, int needed) {
        List<Clearing> clearings = new ArrayList<>();
        for (String id : targets) {
            TargetState target = draft.fleet().target(id);
            if (target.isTrusted() && Admission.fitsWhenEmpty(target, job)) {
                clearings.add(new Clearing(target, clearAt(target, job)));
            }
        }
        if (clearings.size() < needed) {
            return null;
        }
        clearings.sort(Comparator.comparing((Clearing c) -> !Admission.fitsBesideGuarantees(c.target(), job))
                .thenComparingLong(Clearing::at)
                .thenComparingInt(c -> -c.target().free())
                .thenComparing(c -> c.target().id()));
        List<TargetState> chosen =
                clearings.subList(0, needed).stream().map(Clearing::target).toList();
        long clearAt = clearings.subList(0, needed).stream()
                .mapToLong(Clearing::at)
                .max()
                .orElse(draft.now());
        boolean beside = chosen.stream().allMatch(t -> Admission.fitsBesideGuarantees(t, job));
        return new Plan(chosen, clearAt, beside);
    }

    /** A target and the time by which its irrevocable work has ended. */
    private record Clearing(TargetState target, long at) {}

    private long clearAt(TargetState target, Job owner) {
        long latest = draft.now();
        for (String id : target.load().jobs()) {
            Job job = draft.job(id);
            boolean stays = job != null
                    && !(job.phase() instanceof Phase.Claiming)
                    && (!job.profile().revocable() || Victims.isSpared(job, owner));
            if (stays) {
                latest = Math.max(latest, endBy(job));
            }
        }
        return latest;
    }

    private long endBy(Job job) {
        long runs = job.phase() instanceof Phase.Running running
                ? running.runDeadline()
                : draft.now()
                        + job.profile().runLimitMillis()
                        + 2 * draft.policy().reserveTimeoutMillis();
        return runs + draft.policy().stopTimeoutMillis();
    }
}
