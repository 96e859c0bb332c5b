package org.acaciaport.decision;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import org.pcollections.PMap;

/**
 * The part of a {@link Draft} that concerns targets: the units that are occupied and claimed on them, and which targets
 * the decision under way has changed.
 *
 * <p>The load of each target and the units used by each account change together. Confined to one call of
 * {@link Decider#decide}; not thread-safe. The methods only do bookkeeping and make no decision.
 */
final class FleetDraft {
    private final Runnable onUnitsFreed;
    private final Set<String> changedTargets = new TreeSet<>();
    private final Set<String> freedTargets = new TreeSet<>();
    private Fleet fleet;
    private PMap<String, Integer> unitsByAccount;

    /**
     * Creates a draft that starts from {@code state}.
     *
     * @param onUnitsFreed called after units have become free or claims were removed
     */
    FleetDraft(CellState state, Runnable onUnitsFreed) {
        this.onUnitsFreed = onUnitsFreed;
        fleet = state.fleet();
        unitsByAccount = state.workload().unitsByAccount();
    }

    Fleet fleet() {
        return fleet;
    }

    void setFleet(Fleet next) {
        next.targets().keySet().forEach(changedTargets::add);
        fleet = next;
    }

    /** Stores the newest list of leaving VMs, so that targets configured later can be checked against it. */
    void setListedAsLeaving(Set<String> listed) {
        fleet = fleet.withListedAsLeaving(listed);
    }

    /** Applies {@code change} to the target with identifier {@code id}, which must be in the fleet. */
    void changeTarget(String id, UnaryOperator<TargetState> change) {
        fleet = fleet.withChanged(id, change);
        changedTargets.add(id);
    }

    /** Returns the identifiers of the targets that have changed. */
    Set<String> changedTargets() {
        return changedTargets;
    }

    /** Returns the targets on which units became free, or claims must be rechecked, since the last call. */
    Set<String> takeFreedTargets() {
        Set<String> taken = new TreeSet<>(freedTargets);
        freedTargets.clear();
        return taken;
    }

    /** Marks all targets with claims to be rechecked; for use after units may have been assigned to other owners. */
    void recheckClaims() {
        for (TargetState target : fleet.targets().values()) {
            if (target.load().claimed() > 0) {
                freedTargets.add(target.id());
            }
        }
    }

    /** Returns the units that the accounts occupy on all targets, by account. */
    PMap<String, Integer> unitsByAccount() {
        return unitsByAccount;
    }

    /** Returns the units that {@code account} occupies on all targets. */
    int unitsUsedBy(String account) {
        return unitsByAccount.getOrDefault(account, 0);
    }

    /** Claims the places of {@code claiming} for {@code job}. */
    void addClaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            changeTarget(
                    member.target(),
                    t -> t.with(withClaimedUnits(t.load(), job, claiming, member.units())
                            .withJob(job.id())));
        }
    }

    /** Reverses {@link #addClaim}. */
    void removeClaim(Job job, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            if (fleet.target(member.target()) != null) {
                changeTarget(
                        member.target(),
                        t -> t.with(withClaimedUnits(t.load(), job, claiming, -member.units())
                                .withoutJob(job.id())));
                freedTargets.add(member.target());
            }
        }
        onUnitsFreed.run();
    }

    private static Load withClaimedUnits(Load load, Job job, Phase.Claiming claiming, int units) {
        Load claimed = claiming.hasDeadline()
                ? load.withClaim(job.account(), units, job.profile().revocable())
                : load.withUnboundedClaim(units);
        return claiming.forLargeJob() ? claimed.withSetAside(units) : claimed;
    }

    /** Marks the places of {@code attempt} as occupied by {@code job}. */
    void occupy(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            changeUsage(job, member, member.units());
            changeTarget(member.target(), t -> t.with(t.load().withJob(job.id())));
        }
    }

    /**
     * Marks the place of one member as free again.
     *
     * @param revoking whether the member was being revoked, so that its units no longer count as such
     */
    void vacate(Job job, Member member, boolean revoking) {
        if (fleet.target(member.target()) == null) {
            return;
        }
        changeUsage(job, member, -member.units());
        changeTarget(member.target(), t -> {
            Load load = t.load().withoutJob(job.id());
            return t.with(revoking ? load.withRevoking(-member.units()) : load);
        });
        freedTargets.add(member.target());
        onUnitsFreed.run();
    }

    private void changeUsage(Job job, Member member, int change) {
        boolean revocable = job.profile().revocable();
        changeTarget(member.target(), t -> t.with(t.load().withUsage(job.account(), change, revocable)));
        unitsByAccount = unitsByAccount.plus(job.account(), unitsUsedBy(job.account()) + change);
    }
}
