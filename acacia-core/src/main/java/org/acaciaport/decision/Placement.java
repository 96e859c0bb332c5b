package org.acaciaport.decision;

import com.google.common.collect.Iterables;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.acaciaport.config.Adjacency;
import org.acaciaport.config.Profile;
import org.acaciaport.config.Slice;

/**
 * Finds places for the members of a job. A place is a number of accelerators on one target.
 *
 * <p>Reads the draft and never changes it. A single member takes logarithmic time in the number of targets, a gang in
 * one rack time linear in the number of racks, and a gang across racks time linear in its size. Not thread-safe; each
 * instance serves a single decision.
 */
final class Placement {
    private final Draft draft;
    private final Job job;
    private final Profile profile;

    Placement(Draft draft, Job job) {
        this.draft = draft;
        this.job = job;
        this.profile = job.profile();
    }

    /**
     * Returns places that are free now. A single member prefers accelerators guaranteed to its account, then the target
     * with the fewest free accelerators that fits (best fit); a gang in one rack prefers the tightest rack.
     */
    Optional<List<Member>> findFree() {
        int needed = profile.shape().targets();
        if (needed == 1) {
            return findSingle().map(this::membersOn);
        }
        return switch (profile.shape().adjacency()) {
            case SAME_TARGET -> Optional.empty();
            case SAME_RACK -> findInOneRack(needed);
            case SAME_DATA_CENTRE -> findAcrossRacks(needed);
        };
    }

    /**
     * Returns places among the guaranteed slices of the account, whether or not other work occupies them now. Prefers
     * targets on which most of the needed accelerators are free already.
     */
    Optional<List<Member>> findClaimable() {
        int needed = profile.shape().targets();
        List<TargetState> own = new ArrayList<>();
        for (Slice slice : draft.fleet().sliceAssignment().slicesOf(job.account())) {
            TargetState target = draft.fleet().target(slice.target());
            if (target != null && isClaimable(target)) {
                own.add(target);
            }
        }
        own.sort(Comparator.comparingInt((TargetState t) -> -Math.min(t.free(), units(t)))
                .thenComparing(TargetState::id));
        if (profile.shape().adjacency() != Adjacency.SAME_RACK) {
            return own.size() < needed ? Optional.empty() : Optional.of(membersOn(own.subList(0, needed)));
        }
        for (TargetState first : own) {
            List<TargetState> rack = own.stream()
                    .filter(t -> t.target().rack().equals(first.target().rack()))
                    .toList();
            if (rack.size() >= needed) {
                return Optional.of(membersOn(rack.subList(0, needed)));
            }
        }
        return Optional.empty();
    }

    /** Returns one member for each of {@code targets}, in this order. */
    List<Member> membersOn(List<TargetState> targets) {
        List<Member> members = new ArrayList<>(targets.size());
        for (TargetState target : targets) {
            members.add(new Member(members.size(), target.id(), units(target)));
        }
        return members;
    }

    int units(TargetState target) {
        return profile.unitsOn(target.target());
    }

    /**
     * Returns whether a member can claim accelerators of {@code target} that are guaranteed to the account. Those that
     * the account occupies itself count only if its work there has a lower priority and can be preempted.
     */
    private boolean isClaimable(TargetState target) {
        int owned = target.owned().getOrDefault(job.account(), 0);
        int retained = target.load().usageOf(job.account()).total() - Victims.ownPreemptibleUnits(draft, target, job);
        boolean preservesGuarantees =
                profile.revocable() || draft.rules().preservesGuarantees(target, job.account(), units(target));
        return preservesGuarantees
                && draft.rules().acceptsWork(target)
                && !job.avoidedTargets().contains(target.id())
                && owned - retained - target.load().claimedBy(job.account()) >= units(target);
    }

    private boolean fitsNow(TargetState target) {
        int units = units(target);
        // A target with recent failures takes only idempotent jobs with one member, which can be retried elsewhere.
        boolean trusted =
                target.health().accountsByFailedRequest().isEmpty() || profile.idempotent() && !profile.runsAsGang();
        return draft.rules().acceptsWork(target)
                && trusted
                && !job.avoidedTargets().contains(target.id())
                && draft.rules().fits(target, units)
                && (profile.revocable() || draft.rules().preservesGuarantees(target, job.account(), units));
    }

    private Optional<List<TargetState>> findSingle() {
        TargetState best = null;
        for (Slice slice : draft.fleet().sliceAssignment().slicesOf(job.account())) {
            TargetState target = draft.fleet().target(slice.target());
            boolean own = target != null && target.unusedOwnedBy(job.account()) >= units(target);
            if (own && fitsNow(target) && (best == null || target.free() < best.free())) {
                best = target;
            }
        }
        if (best != null) {
            return Optional.of(List.of(best));
        }
        for (CapacityIndex.Entry entry :
                candidateIndex().atLeast(profile.shape().acceleratorsPerTarget())) {
            TargetState target = draft.fleet().target(entry.target());
            if (fitsNow(target)) {
                return Optional.of(List.of(target));
            }
        }
        return Optional.empty();
    }

    private Optional<List<Member>> findInOneRack(int needed) {
        int minUnits = profile.shape().acceleratorsPerTarget();
        List<TargetState> best = null;
        int bestRemainder = Integer.MAX_VALUE;
        for (String rack : draft.fleet().racks().keySet()) {
            if (draft.fleet().free().countInRack(rack, minUnits) < needed) {
                continue;
            }
            List<TargetState> chosen =
                    selectTightest(Iterables.transform(draft.fleet().racks().get(rack), draft.fleet()::target), needed);
            int remainder = chosen.stream().mapToInt(t -> t.free() - units(t)).sum();
            if (chosen.size() == needed && remainder < bestRemainder) {
                best = chosen;
                bestRemainder = remainder;
            }
        }
        return Optional.ofNullable(best).map(this::membersOn);
    }

    private Optional<List<Member>> findAcrossRacks(int needed) {
        List<TargetState> chosen = new ArrayList<>(needed);
        for (CapacityIndex.Entry entry :
                draft.fleet().free().atLeast(profile.shape().acceleratorsPerTarget())) {
            TargetState target = draft.fleet().target(entry.target());
            if (fitsNow(target)) {
                chosen.add(target);
            }
            if (chosen.size() == needed) {
                return Optional.of(membersOn(chosen));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns up to {@code needed} targets that fit a member now, those left with the fewest free accelerators first.
     */
    private List<TargetState> selectTightest(Iterable<TargetState> targets, int needed) {
        List<TargetState> fitting = new ArrayList<>();
        for (TargetState target : targets) {
            if (fitsNow(target)) {
                fitting.add(target);
            }
        }
        fitting.sort(
                Comparator.comparingInt((TargetState t) -> t.free() - units(t)).thenComparing(TargetState::id));
        return fitting.subList(0, Math.min(needed, fitting.size()));
    }

    private CapacityIndex candidateIndex() {
        return profile.revocable() ? draft.fleet().free() : draft.fleet().unowned();
    }
}
