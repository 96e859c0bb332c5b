package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * How long units have waited, and what they accept because of it: targets outside their preferred locality, or
 * resources that others hold in vain.
 *
 * <p>Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class UnitWaits {
    /** Time after which a claim accepts targets outside its preferred locality, in milliseconds. */
    private static final long CLAIM_LOCALITY_WAIT_MILLIS = 1_000;

    /** Time after which a claim accepts targets on which it will be late, in milliseconds; its guarantee is for any. */
    private static final long CLAIM_SPEED_WAIT_MILLIS = 1_000;

    /** Time after which any unit accepts more while most of the capacity is free, in milliseconds. */
    private static final long MOSTLY_FREE_WAIT_MILLIS = 2_000;

    /**
     * Longest time for which a job waits for others rather than run on a target on which it failed, in milliseconds. A
     * target that fails all its runs mostly recovers sooner.
     */
    private static final long MAX_AVOIDANCE_MILLIS = 10_000;

    /** Time after which any unit accepts targets outside its preferred locality, in milliseconds. */
    private static final long MAX_LOCALITY_WAIT_MILLIS = 60_000;

    private final Placement placement;
    private final AccountDemand accountDemand;
    private final TargetHealth targetHealth;
    private final SpeedTiers speedTiers;
    private final Collection<TargetState> targets;
    private final ClockReading now;

    /** Whether most of the capacity was free when the pass first asked, by service. */
    private final Map<String, Boolean> mostlyFreeByService = new HashMap<>();

    UnitWaits(
            Placement placement,
            AccountDemand accountDemand,
            TargetHealth targetHealth,
            SpeedTiers speedTiers,
            Collection<TargetState> targets,
            ClockReading now) {
        this.placement = placement;
        this.accountDemand = accountDemand;
        this.targetHealth = targetHealth;
        this.speedTiers = speedTiers;
        this.targets = targets;
        this.now = now;
    }

    /** Returns how long the unit has been ready, in milliseconds. */
    long millis(PlacementUnit unit) {
        return now.millisSince(unit.step().readyNanos);
    }

    /** Returns whether the unit is of the highest priority and its account within its guarantee. */
    boolean isClaim(PlacementUnit unit) {
        return unit.priority() == 0
                && accountDemand.isWithinGuarantee(unit.job().account());
    }

    /**
     * Returns the tiers of targets that the unit accepts now, best locality first. Targets on which its job failed are
     * in the last tiers, once it has waited for others; if the unit would not fit on these, they are like the others.
     */
    List<LocalityTier> localityTiers(PlacementUnit unit) {
        Map<String, List<TargetState>> racks = placement.eligibleTargetsByRack(unit, now.monotonicNanos());
        Predicate<TargetState> avoided =
                target -> targetHealth.isAvoidedByJob(unit.job().id(), target, targets);
        if (!targetHealth.hasFailed(unit.job().id()) || !placement.fitsOnIdle(unit, avoided.negate())) {
            return tiersOf(unit, racks);
        }
        Map<String, List<TargetState>> others = placement.eligibleTargetsByRack(unit, now.monotonicNanos());
        others.values().forEach(rack -> rack.removeIf(avoided));
        List<LocalityTier> tiers = new ArrayList<>(tiersOf(unit, others));
        racks.values().forEach(rack -> rack.removeIf(target -> avoided.test(target) && !hasWaited(unit, target)));
        if (!racks.equals(others)) {
            tiers.addAll(tiersOf(unit, racks));
        }
        return tiers;
    }

    private List<LocalityTier> tiersOf(PlacementUnit unit, Map<String, List<TargetState>> racks) {
        List<LocalityTier> tiers = LocalityTier.of(unit, racks, isOverdue(unit), millis(unit));
        return speedTiers.apply(unit, tiers, mayWaitForFasterTargets(unit));
    }

    private boolean mayWaitForFasterTargets(PlacementUnit unit) {
        boolean claimIsDue = isClaim(unit) && millis(unit) > CLAIM_SPEED_WAIT_MILLIS;
        return !claimIsDue && !isLongInMostlyFreePool(unit);
    }

    /** Returns which targets the unit, whose job has no failed runs, accepts by their speed. */
    SpeedLimit speedLimit(PlacementUnit unit) {
        if (!speedTiers.isSelective(unit) || !mayWaitForFasterTargets(unit)) {
            return SpeedLimit.NONE;
        }
        Map<String, List<TargetState>> racks = placement.eligibleTargetsByRack(unit, now.monotonicNanos());
        return speedTiers.limit(unit, LocalityTier.of(unit, racks, isOverdue(unit), millis(unit)));
    }

    /** Returns whether the unit has waited for others long enough to accept a target on which its job failed. */
    private boolean hasWaited(PlacementUnit unit, TargetState target) {
        if (unit.acceptsSuspectedTargets(now.monotonicNanos())) {
            return true;
        }
        long millis = targetHealth.millisSinceFailure(unit.job().id(), target, now);
        return millis > MAX_AVOIDANCE_MILLIS || millis > MOSTLY_FREE_WAIT_MILLIS && isMostlyFree(unit);
    }

    /** Returns whether the tasks are to be on one rack, and would fit on one that is idle. */
    boolean prefersOneRack(PlacementUnit unit) {
        return unit.step().spec.constraints().tight()
                && unit.size() > 1
                && placement.fitsOnOneRack(unit, now.monotonicNanos());
    }

    /** Returns the preferred rack; empty if there is none, or no target there accepts the unit. */
    String preferredRack(PlacementUnit unit) {
        String rack = unit.step().spec.constraints().nearRack();
        return rack.isEmpty() || !placement.acceptsOnRack(unit, rack, now.monotonicNanos()) ? "" : rack;
    }

    /** Returns whether a task that prefers a rack accepts targets outside it; false if it prefers none. */
    boolean mayLeaveRack(PlacementUnit unit) {
        return !unit.step().spec.constraints().nearRack().isEmpty()
                && LocalityTier.mayLeaveRack(unit, isOverdue(unit), millis(unit));
    }

    /**
     * Returns whether the unit has waited too long to require the best locality. While there is room for it twice over,
     * the longer run that results takes nothing from others. A rack may never become free as a whole.
     */
    boolean isOverdue(PlacementUnit unit) {
        return millis(unit) > MAX_LOCALITY_WAIT_MILLIS
                || millis(unit) > CLAIM_LOCALITY_WAIT_MILLIS && isClaim(unit)
                || isLongInMostlyFreePool(unit) && placement.fitsTwice(unit, now.monotonicNanos());
    }

    /** Returns whether the unit has waited long although most of the capacity of its service is free. */
    boolean isLongInMostlyFreePool(PlacementUnit unit) {
        return millis(unit) > MOSTLY_FREE_WAIT_MILLIS && isMostlyFree(unit);
    }

    private boolean isMostlyFree(PlacementUnit unit) {
        return mostlyFreeByService.computeIfAbsent(unit.job().service(), placement::isMostlyFree);
    }
}
