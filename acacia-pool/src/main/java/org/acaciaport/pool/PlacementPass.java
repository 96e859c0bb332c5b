package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/**
 * A single scheduling pass, which places waiting units in scheduling order and starts those whose resources are free.
 *
 * <p>A claim is a unit of the highest priority whose client account is within its guarantee. Created anew for each
 * pass. Not thread-safe; confined to the thread of the pool.
 */
final class PlacementPass {
    /** Age from which a reservation gives way to resources that are free at once, in milliseconds. */
    private static final long MIN_RESERVATION_MILLIS = 500;

    private final Context context;
    private final Collection<JobExecution> jobs;
    private final Collection<TargetState> targets;
    private final Placement placement;
    private final AccountDemand accountDemand;
    private final SpeedTiers speedTiers;
    private final UnitWaits unitWaits;
    private final OccupiedResourceSearch occupiedResourceSearch;
    private final AccountLimits limits;
    private final OwnWorkSearch ownWorkSearch;
    private final UnitReserver unitReserver;
    private final PoolSettings settings;
    private final ClockReading now;

    private final SearchEffort effort = new SearchEffort();

    /** Demands of single tasks for which there is no free room. */
    private final Set<DemandKey> unplaceable = new HashSet<>();

    /** Units for which there is no free room. */
    private final FailedUnits<PlacementKind> withoutRoom = new FailedUnits<>();

    private SearchDecisions searchDecisions;

    /** The step with the newest result of {@link #kind}. */
    private StepExecution kindStep;

    private PlacementKind kindOfStep;

    /** Step with a unit that could not be placed since resources were last freed; null if there is none. */
    private StepExecution failedStep;

    PlacementPass(
            Context context,
            Collection<JobExecution> jobs,
            Collection<TargetState> targets,
            PoolSettings settings,
            ClockReading now) {
        this.context = context;
        this.jobs = jobs;
        this.targets = targets;
        this.settings = settings;
        this.now = now;
        placement = new Placement(targets, settings);
        accountDemand = AccountDemand.of(jobs, settings);
        speedTiers = new SpeedTiers(context.estimates(), targets, now);
        unitWaits = new UnitWaits(placement, accountDemand, context.targetHealth(), speedTiers, targets, now);
        occupiedResourceSearch = new OccupiedResourceSearch(accountDemand, context.estimates(), effort, now);
        OverdueStops overdueStops = new OverdueStops(targets, now);
        limits = new AccountLimits(
                context.accountUsage(), settings.accounts(), context.limitMonitor(), overdueStops, now);
        unitReserver = new UnitReserver(context.taskLifecycle(), context.estimates(), unitWaits, now);
        ownWorkSearch = new OwnWorkSearch(limits, occupiedResourceSearch, targets, overdueStops, now);
    }

    /**
     * The collaborators of a pass that outlive it.
     *
     * @param outbox collects start commands
     * @param targetHealth tells on which targets a job failed
     * @param taskLifecycle stops runs and cancels reservations
     * @param accountUsage what the client accounts use
     * @param limitMonitor logs which limits hold work back
     * @param estimates expected durations and speeds
     */
    record Context(
            Outbox outbox,
            TargetHealth targetHealth,
            TaskLifecycle taskLifecycle,
            AccountUsage accountUsage,
            LimitMonitor limitMonitor,
            RunEstimates estimates) {}

    /** Runs the pass and returns what it cost. */
    SearchEffort run() {
        List<PlacementUnit> units = new WaitingUnits(accountDemand, now).collect(jobs);
        context.limitMonitor().beginPass();
        limits.cancelExcessReservations(units, context.taskLifecycle());
        searchDecisions = new SearchDecisions(units, unitWaits, occupiedResourceSearch, now);
        for (PlacementUnit unit : units) {
            if (unit.isIn(Phase.WAITING)) {
                placeWithinLimit(unit);
            } else if (unit.isIn(Phase.RESERVED)) {
                reviewReservation(unit);
            }
        }
        effort.skippedUrgent = searchDecisions.skippedUrgent();
        effort.unusedTurns = searchDecisions.unusedTurns();
        searchDecisions.endPass();
        new UnitStarter(context, placement, limits, now).startReserved(units, jobs);
        context.limitMonitor().endPass(settings.accounts(), context.accountUsage(), now);
        return effort;
    }

    /**
     * Places a unit that its account's limit admits, and lets others wait unless their own account's work yields. Own
     * work also yields to a unit that is admitted only because stops count as done that are overdue.
     */
    private void placeWithinLimit(PlacementUnit unit) {
        if (displaceOwnWork(unit)) {
            return;
        }
        if (limits.admits(unit)) {
            place(unit);
        } else {
            limits.holdBack(unit);
        }
    }

    /** Stops work of lower priorities of the unit's own account to bring the unit within the account's limit. */
    private boolean displaceOwnWork(PlacementUnit unit) {
        if (!limits.mayDisplaceOwnWork(unit)
                || !searchDecisions.isDue(unit)
                || limits.isSearchAnswered(unit, kind(unit))) {
            return false;
        }
        if (reserve(unit, ownWorkSearch.find(unit, unitWaits.localityTiers(unit), unitWaits.isClaim(unit)))) {
            return true;
        }
        if (!limits.admits(unit)) {
            searchDecisions.postpone(unit);
        }
        limits.recordSearchFailed(unit, kind(unit));
        return false;
    }

    private void place(PlacementUnit unit) {
        if (unit.step() == failedStep) {
            return;
        }
        PlacementKind kind = kind(unit);
        DemandKey key = kind == null || unit.size() > 1 ? null : new DemandKey(kind, unit.demand());
        boolean mayFit = mayFit(unit, kind, key);
        SearchDecisions.Decision decision = searchDecisions.decide(unit, kind, key);
        boolean searches = decision == SearchDecisions.Decision.SEARCH;
        if ((mayFit || searches) && place(unit, kind, mayFit, searches)) {
            return;
        }
        failedStep = unit.step();
        if (kind != null) {
            withoutRoom.add(kind, unit);
        }
        if (key != null) {
            unplaceable.add(key);
        }
        if (decision != SearchDecisions.Decision.NOT_NOW) {
            searchDecisions.recordFailure(unit, key);
        }
    }

    private boolean place(PlacementUnit unit, PlacementKind kind, boolean mayFit, boolean searches) {
        effort.placements++;
        List<LocalityTier> tiers = unitWaits.localityTiers(unit);
        if (mayFit && unit.isLastAttempt() && placeOnProvenTargets(unit, tiers.get(0))) {
            return true;
        }
        for (int i = 0; i < tiers.size(); i++) {
            OccupiedResourceSearch.Scope scope = new OccupiedResourceSearch.Scope(unit, kind, tiers.get(i), i);
            if (mayFit && placeInFreeCapacity(unit, tiers.get(i), TargetState::projectedFree)
                    || searches && (waitForCompletions(scope) || preempt(scope))) {
                return true;
            }
        }
        for (int i = 0; i < tiers.size(); i++) {
            OccupiedResourceSearch.Scope scope = new OccupiedResourceSearch.Scope(unit, kind, tiers.get(i), i);
            if (mayFit && takeHeldCapacity(unit, tiers.get(i)) || searches && reserveInAdvance(scope)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the kind of {@code unit}; null if more than that decides where it may be placed. */
    private PlacementKind kind(PlacementUnit unit) {
        if (unit.step() != kindStep) {
            boolean comparable = unit.step().spec.constraints().spreadLimit() <= 0
                    && !context.targetHealth().hasFailed(unit.job().id())
                    && !unit.acceptsSuspectedTargets(now.monotonicNanos());
            kindStep = unit.step();
            kindOfStep = comparable ? PlacementKind.of(unit, unitWaits) : null;
        }
        return kindOfStep;
    }

    /** Returns false if the unit does not fit into free resources. */
    private boolean mayFit(PlacementUnit unit, PlacementKind kind, DemandKey key) {
        return !(key != null && unplaceable.contains(key))
                && !(kind != null && withoutRoom.rulesOut(kind, unit))
                && mayFit(unit);
    }

    /** Forgets what did not fit, since resources were freed. */
    private void recordFreedResources() {
        withoutRoom.clear();
        occupiedResourceSearch.recordFreedResources();
        failedStep = null;
    }

    /**
     * Returns false if the unit certainly does not fit into free resources, regardless of its locality. Cheaper than a
     * choice of targets, and false for most gangs that wait.
     */
    private boolean mayFit(PlacementUnit unit) {
        if (unitWaits.isLongInMostlyFreePool(unit)) {
            return true;
        }
        int slots = 0;
        for (TargetState target : targets) {
            slots += Placement.countSlots(unit, target, target.projectedFree());
            if (slots >= unit.size()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Moves a unit whose reserved resources are still in use to resources that are free at once. The runs that it waits
     * for may take much longer than predicted or may not end at all.
     */
    private void reviewReservation(PlacementUnit unit) {
        long reservedNanos = unit.tasks().get(0).reservedNanos;
        if (now.millisSince(reservedNanos) < MIN_RESERVATION_MILLIS || unit.areReservedResourcesFree()) {
            return;
        }
        List<TargetState> held = unit.targets();
        unit.tasks().forEach(context.taskLifecycle()::cancelReservation);
        for (LocalityTier tier : unitWaits.localityTiers(unit)) {
            if (placeInFreeCapacity(unit, tier, TargetState::freeAtOnce)) {
                recordFreedResources();
                return;
            }
        }
        for (int i = 0; i < unit.size(); i++) {
            held.get(i).put(unit.tasks().get(i), Phase.RESERVED);
        }
    }

    /** Places the last attempt of a unit where runs have just completed, if it fits there without stopping others. */
    private boolean placeOnProvenTargets(PlacementUnit unit, LocalityTier tier) {
        LocalityTier proven = tier.filter(target -> TargetHealth.isProven(target, now));
        return placeInFreeCapacity(unit, proven, TargetState::projectedFree);
    }

    /** Takes resources that a gang holds in vain, for a unit that has waited while most of the capacity is free. */
    private boolean takeHeldCapacity(PlacementUnit unit, LocalityTier tier) {
        HeldCapacity held = new HeldCapacity(unit);
        if (!unitWaits.isLongInMostlyFreePool(unit) || !placeInFreeCapacity(unit, tier, held::available)) {
            return false;
        }
        held.release(unit.targets(), context.taskLifecycle());
        recordFreedResources();
        return true;
    }

    private boolean placeInFreeCapacity(
            PlacementUnit unit, LocalityTier tier, Function<TargetState, Resources> available) {
        List<TargetState> best = null;
        long leastCost = Long.MAX_VALUE;
        long leastFree = Long.MAX_VALUE;
        for (List<TargetState> group : tier.groups()) {
            List<TargetState> chosen = Placement.selectTargets(unit, group, available, tier.order());
            if (chosen == null) {
                continue;
            }
            long free = 0;
            for (TargetState target : group) {
                free += available.apply(target).accelerators();
            }
            long cost = tier.order().groupCost().applyAsLong(chosen);
            if (best == null || cost < leastCost || cost == leastCost && free < leastFree) {
                best = chosen;
                leastCost = cost;
                leastFree = free;
            }
        }
        if (best == null) {
            return false;
        }
        return reserve(unit, Reservation.withoutVictims(best, "free", now.monotonicNanos()));
    }

    private boolean waitForCompletions(OccupiedResourceSearch.Scope scope) {
        long waitedMillis = unitWaits.millis(scope.unit());
        return reserve(scope.unit(), occupiedResourceSearch.findCompletions(scope, waitedMillis));
    }

    private boolean preempt(OccupiedResourceSearch.Scope scope) {
        boolean claim = unitWaits.isClaim(scope.unit()) && !scope.tier().selective();
        return reserve(scope.unit(), occupiedResourceSearch.findPreemption(scope, claim));
    }

    private boolean reserveInAdvance(OccupiedResourceSearch.Scope scope) {
        long waitedMillis = unitWaits.millis(scope.unit());
        if (!searchDecisions.mayReserveInAdvance()
                || !reserve(scope.unit(), occupiedResourceSearch.findAdvanceReservation(scope, waitedMillis))) {
            return false;
        }
        searchDecisions.recordAdvanceReservation();
        return true;
    }

    /** Makes {@code reservation} and stops its victims; returns false if it is null. */
    private boolean reserve(PlacementUnit unit, Reservation reservation) {
        if (reservation == null) {
            return false;
        }
        unitReserver.reserve(unit, reservation);
        if (!reservation.victims().isEmpty()) {
            recordFreedResources();
        }
        return true;
    }
}
