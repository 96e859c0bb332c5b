package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.jboss.logging.Logger;

/**
 * A single scheduling pass, which places waiting units in scheduling order and starts those whose resources are free.
 *
 * <p>A claim is a unit of the highest priority whose client account is within its guarantee. Created anew for each
 * pass. Not thread-safe; confined to the thread of the pool.
 */
final class PlacementPass {
    private static final Logger LOG = Logger.getLogger(PlacementPass.class);

    /** Age from which a reservation gives way to resources that are free at once, in milliseconds. */
    private static final long MIN_RESERVATION_MILLIS = 500;

    /** Interval between searches for running tasks that could make room for the same step, in milliseconds. */
    private static final long SEARCH_INTERVAL_MILLIS = 100;

    /** Maximum number of advance reservations at the same time. */
    private static final int MAX_ADVANCE_RESERVATIONS = 1;

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
    private final PoolSettings settings;
    private final ClockReading now;

    /** Demands for which there is no free room. */
    private final Set<DemandKey> unplaceable = new HashSet<>();

    /** Demands for which no running tasks can make room. */
    private final Set<DemandKey> unsearchable = new HashSet<>();

    private int advanceReservations;

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
        occupiedResourceSearch = new OccupiedResourceSearch(accountDemand, context.estimates(), now);
        limits = new AccountLimits(context.accountUsage(), settings.accounts(), context.limitMonitor(), now);
        ownWorkSearch = new OwnWorkSearch(limits, occupiedResourceSearch, targets, now);
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

    void run() {
        List<PlacementUnit> units = new WaitingUnits(accountDemand, now).collect(jobs);
        context.limitMonitor().beginPass();
        limits.cancelExcessReservations(units, context.taskLifecycle());
        advanceReservations =
                (int) units.stream().filter(PlacementPass::isReservedGang).count();
        for (PlacementUnit unit : units) {
            if (unit.isIn(Phase.WAITING)) {
                placeWithinLimit(unit);
            } else if (unit.isIn(Phase.RESERVED)) {
                reviewReservation(unit);
            }
        }
        new UnitStarter(context, placement, limits, now).startReserved(jobs);
        context.limitMonitor().endPass(settings.accounts(), context.accountUsage(), now);
    }

    /** Returns whether the unit is a gang below the highest priority with reserved resources. */
    private static boolean isReservedGang(PlacementUnit unit) {
        return unit.priority() > 0 && unit.step().spec.mode().gang() && unit.isIn(Phase.RESERVED);
    }

    /** Places a unit that its account's limit admits, and lets others wait unless their own account's work yields. */
    private void placeWithinLimit(PlacementUnit unit) {
        if (limits.admits(unit)) {
            place(unit);
        } else if (!displaceOwnWork(unit)) {
            limits.holdBack(unit);
        }
    }

    /** Stops work of lower priorities of the unit's own account to bring the unit within the account's limit. */
    private boolean displaceOwnWork(PlacementUnit unit) {
        if (!limits.mayDisplaceOwnWork(unit) || !isSearchDue(unit)) {
            return false;
        }
        if (reserve(unit, ownWorkSearch.find(unit, unitWaits.localityTiers(unit), unitWaits.isClaim(unit)))) {
            return true;
        }
        unit.step().nextSearchNanos = now.nanosAfter(SEARCH_INTERVAL_MILLIS);
        limits.recordSearchFailed(unit);
        return false;
    }

    private void place(PlacementUnit unit) {
        DemandKey key = demandKey(unit);
        boolean cacheable = isCacheable(unit);
        boolean mayFit = cacheable ? !unplaceable.contains(key) : mayFit(unit);
        boolean searches = isSearchDue(unit) && !(cacheable && unsearchable.contains(key));
        if (!mayFit && !searches) {
            return;
        }
        List<LocalityTier> tiers = unitWaits.localityTiers(unit);
        if (mayFit && unit.isLastAttempt() && placeOnProvenTargets(unit, tiers.get(0))) {
            return;
        }
        for (LocalityTier tier : tiers) {
            if (mayFit && placeInFreeCapacity(unit, tier, TargetState::projectedFree)
                    || searches && (waitForCompletions(unit, tier) || preempt(unit, tier))) {
                return;
            }
        }
        for (LocalityTier tier : tiers) {
            if (mayFit && takeHeldCapacity(unit, tier) || searches && reserveInAdvance(unit, tier)) {
                return;
            }
        }
        if (cacheable) {
            unplaceable.add(key);
        }
        if (searches) {
            unit.step().nextSearchNanos = now.nanosAfter(SEARCH_INTERVAL_MILLIS);
            if (cacheable) {
                unsearchable.add(key);
            }
        }
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

    private DemandKey demandKey(PlacementUnit unit) {
        return DemandKey.of(
                unit,
                unitWaits.mayLeaveRack(unit),
                unitWaits.isLongInMostlyFreePool(unit),
                unitWaits.isClaim(unit),
                speedTiers.requiredSpeed(unit));
    }

    /** Returns whether nothing but its {@link DemandKey} decides where the unit may be placed. */
    private boolean isCacheable(PlacementUnit unit) {
        return unit.size() == 1
                && unit.step().spec.constraints().spreadLimit() == 0
                && !context.targetHealth().hasFailed(unit.job().id());
    }

    /** Returns whether running tasks are to be searched for room now: only for gangs and the highest priority. */
    private boolean isSearchDue(PlacementUnit unit) {
        return (unit.priority() == 0 || unit.step().spec.mode().gang())
                && now.monotonicNanos() - unit.step().nextSearchNanos >= 0;
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
        return true;
    }

    private boolean placeInFreeCapacity(
            PlacementUnit unit, LocalityTier tier, Function<TargetState, Resources> available) {
        List<TargetState> best = null;
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
            if (free < leastFree) {
                best = chosen;
                leastFree = free;
            }
        }
        if (best == null) {
            return false;
        }
        return reserve(unit, Reservation.withoutVictims(best, "free", now.monotonicNanos()));
    }

    private boolean waitForCompletions(PlacementUnit unit, LocalityTier tier) {
        return reserve(unit, occupiedResourceSearch.findCompletions(unit, tier, unitWaits.millis(unit)));
    }

    private boolean preempt(PlacementUnit unit, LocalityTier tier) {
        return reserve(
                unit, occupiedResourceSearch.findPreemption(unit, tier, unitWaits.isClaim(unit) && !tier.selective()));
    }

    private boolean reserveInAdvance(PlacementUnit unit, LocalityTier tier) {
        if (advanceReservations >= MAX_ADVANCE_RESERVATIONS
                || !reserve(unit, occupiedResourceSearch.findAdvanceReservation(unit, tier, unitWaits.millis(unit)))) {
            return false;
        }
        advanceReservations++;
        return true;
    }

    /** Makes {@code reservation} and stops its victims; returns false if it is null. */
    private boolean reserve(PlacementUnit unit, Reservation reservation) {
        if (reservation == null) {
            return false;
        }
        stopVictims(unit, reservation);
        unit.step().displacedCoreSeconds = reservation.displacedCoreSeconds();
        List<TargetState> chosen = reservation.targets();
        for (int i = 0; i < unit.size(); i++) {
            TaskExecution task = unit.tasks().get(i);
            task.reservedNanos = now.monotonicNanos();
            task.reservationExpiresNanos = reservation.expiresNanos();
            chosen.get(i).put(task, Phase.RESERVED);
        }
        LOG.infof(
                "place: request=%s step=%s tasks=%s cores=%.1f account=%s target=%s speed=%.2f seconds=%.1f slack_ms=%s"
                        + " why=%s waited_ms=%s",
                unit.job().id(),
                unit.step().number,
                unit.size(),
                unit.demand().coreEquivalents(),
                unit.job().account(),
                chosen.get(0).id,
                slowestSpeed(chosen),
                context.estimates().seconds(unit.step()) / slowestSpeed(chosen),
                unit.step().slackMillis(now),
                reservation.why(),
                unitWaits.millis(unit));
        return true;
    }

    private static double slowestSpeed(List<TargetState> targets) {
        return targets.stream().mapToDouble(target -> target.speed).min().orElse(1);
    }

    private void stopVictims(PlacementUnit unit, Reservation reservation) {
        for (TaskExecution task : reservation.victims()) {
            if (task.phase == Phase.RESERVED) {
                context.taskLifecycle().cancelReservation(task);
                continue;
            }
            LOG.infof(
                    "stop: request=%s task=%s run=%s target=%s why=%s for=%s",
                    task.id.job(),
                    task.id,
                    task.lastRun,
                    task.target.id,
                    reservation.why(),
                    unit.job().id());
            context.taskLifecycle().stop(task, now);
        }
        countPreemptions(reservation.victims());
    }

    private static void countPreemptions(List<TaskExecution> victims) {
        Set<StepExecution> steps = new HashSet<>();
        for (TaskExecution task : victims) {
            if (task.phase == Phase.STOPPING && steps.add(task.step)) {
                task.step.preemptionCount++;
            }
        }
    }
}
