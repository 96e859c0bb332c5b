package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jboss.logging.Logger;

/**
 * A single scheduling pass, which places waiting units in scheduling order and starts those whose resources are free.
 *
 * <p>A claim is a unit of the highest priority whose client account is within its guarantee. Created anew for each
 * pass. Not thread-safe; confined to the thread of the pool.
 */
final class PlacementPass {
    private static final Logger LOG = Logger.getLogger(PlacementPass.class);

    /** Time after which a claim accepts targets outside its preferred locality, in milliseconds. */
    private static final long CLAIM_LOCALITY_WAIT_MILLIS = 1_000;

    /** Time after which any unit accepts such targets while there is ample room for it, in milliseconds. */
    private static final long AMPLE_ROOM_LOCALITY_WAIT_MILLIS = 2_000;

    /** Time that a gang waits before it may get an advance reservation, in milliseconds. */
    private static final long ADVANCE_RESERVATION_WAIT_MILLIS = 3_000;

    /** Longest predicted completion time of running tasks that is preferred to preemption, in seconds. */
    private static final double MAX_COMPLETION_WAIT_SECONDS = 0.8;

    /** Predicted completion time of running tasks that any unit may wait for, in seconds. */
    private static final double MIN_COMPLETION_WAIT_SECONDS = 0.3;

    /** Fraction of its slack that a unit may spend waiting for running tasks to complete. */
    private static final double COMPLETION_WAIT_SLACK_FRACTION = 0.5;

    /** Time after which a waiting unit may no longer choose to wait for completions, in milliseconds. */
    private static final long COMPLETION_WAIT_CHOICE_MILLIS = 200;

    /** Total waiting time after which a unit stops waiting for predicted completions, in milliseconds. */
    private static final long COMPLETION_WAIT_TIMEOUT_MILLIS = 1_000;

    /**
     * Time for which a unit of the highest priority keeps an advance reservation before it chooses anew, in
     * milliseconds. Without it, the unit would lose and regain the reservation in each pass.
     */
    private static final long ADVANCE_RESERVATION_HOLD_MILLIS = 1_000;

    /** Age from which a reservation gives way to resources that are free at once, in milliseconds. */
    private static final long MIN_RESERVATION_MILLIS = 500;

    /** Interval between searches for running tasks that could make room for the same step, in milliseconds. */
    private static final long SEARCH_INTERVAL_MILLIS = 100;

    /** Maximum work lost by preemption for a unit beyond its guarantee, as a multiple of the work of the unit. */
    private static final double MAX_LOSS_FACTOR = 2.0;

    /** Work that may be lost for any unit of the highest priority, however small, in core-seconds. */
    private static final double MIN_LOSS_BUDGET_CORE_SECONDS = 1_000;

    /** Maximum number of advance reservations at the same time. */
    private static final int MAX_ADVANCE_RESERVATIONS = 1;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final Context context;
    private final Collection<JobExecution> jobs;
    private final Collection<TargetState> targets;
    private final Placement placement;
    private final AccountDemand accountDemand;
    private final ClockReading now;
    /** Demands for which there is no free room. */
    private final Set<DemandKey> unplaceable = new HashSet<>();

    /** Demands for which no running tasks can make room. */
    private final Set<DemandKey> unsearchable = new HashSet<>();

    /** Whether most of the capacity was free when the pass first asked, by service. */
    private final Map<String, Boolean> mostlyFreeByService = new HashMap<>();

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
        this.now = now;
        placement = new Placement(targets, settings);
        accountDemand = AccountDemand.of(jobs, settings);
    }

    /**
     * The collaborators of a pass that outlive it.
     *
     * @param outbox collects start commands
     * @param targetHealth tells on which targets a job failed
     * @param taskLifecycle stops runs and cancels reservations
     */
    record Context(Outbox outbox, TargetHealth targetHealth, TaskLifecycle taskLifecycle) {}

    /**
     * The properties that decide whether a single task fits; a demand that did not fit is not tried again in the pass.
     *
     * @param leavesRack whether targets outside {@code nearRack} are accepted
     * @param takesHeld whether resources that a gang holds in vain are accepted
     * @param urgent whether the task is of the highest priority, so that running tasks may make room for it
     * @param claim whether it may also take the room of others of the highest priority
     */
    private record DemandKey(
            String service,
            Resources demand,
            String label,
            String nearRack,
            boolean leavesRack,
            boolean takesHeld,
            boolean urgent,
            boolean claim) {}

    void run() {
        List<PlacementUnit> waiting = new ArrayList<>();
        for (JobExecution job : jobs) {
            if (!job.state.isTerminal()) {
                collectWaiting(job, waiting);
            }
        }
        waiting.sort(schedulingOrder());
        for (PlacementUnit unit : waiting) {
            if (unit.isIn(Phase.WAITING)) {
                place(unit);
            } else if (unit.isIn(Phase.RESERVED)) {
                reviewReservation(unit);
            }
        }
        new UnitStarter(context, placement, now).startReserved(jobs);
    }

    private Comparator<PlacementUnit> schedulingOrder() {
        return Comparator.comparingInt(PlacementUnit::priority)
                .thenComparing(unit -> unit.priority() == 0
                        && !accountDemand.isWithinGuarantee(unit.job().account()))
                .thenComparing(
                        unit -> unit.step().job.objective.deadlineStatus(unit.step().occurrence, now.wallClockMillis()))
                .thenComparingLong(unit -> unit.step().slackMillis(now))
                .thenComparing(unit -> unit.job().id());
    }

    private void collectWaiting(JobExecution job, List<PlacementUnit> waiting) {
        job.openDueOccurrences(now.wallClockMillis());
        for (List<StepExecution> steps : job.openOccurrences()) {
            for (StepExecution step : steps) {
                if (step.isDone() || !arePredecessorsDone(step, steps)) {
                    continue;
                }
                if (step.readyNanos == 0) {
                    step.readyNanos = now.monotonicNanos();
                    step.nextSearchNanos = now.monotonicNanos();
                }
                collectWaiting(step, waiting);
            }
        }
    }

    private static boolean arePredecessorsDone(StepExecution step, List<StepExecution> steps) {
        for (int earlier : step.spec.after()) {
            if (!steps.get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    private void collectWaiting(StepExecution step, List<PlacementUnit> waiting) {
        if (!step.spec.mode().gang()) {
            for (TaskExecution task : step.tasks) {
                if (task.phase == Phase.WAITING || task.phase == Phase.RESERVED) {
                    waiting.add(new PlacementUnit(step, List.of(task)));
                }
            }
            return;
        }
        if (step.tasks.stream().allMatch(task -> task.phase == Phase.WAITING)) {
            waiting.add(new PlacementUnit(step, step.tasks));
        } else if (step.tasks.stream().allMatch(task -> task.phase == Phase.RESERVED)) {
            waiting.add(new PlacementUnit(step, step.tasks));
            if (step.job.spec.terms().priority() > 0) {
                advanceReservations++;
            }
        }
    }

    private void place(PlacementUnit unit) {
        DemandKey key = demandKey(unit);
        boolean cacheable = isCacheable(unit);
        boolean mayFit = !cacheable || !unplaceable.contains(key);
        boolean searches = isSearchDue(unit) && !(cacheable && unsearchable.contains(key));
        if (!mayFit && !searches) {
            return;
        }
        List<LocalityTier> tiers = localityTiers(unit);
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

    private DemandKey demandKey(PlacementUnit unit) {
        Step.Constraints constraints = unit.step().spec.constraints();
        boolean leavesRack = !constraints.nearRack().isEmpty()
                && LocalityTier.mayLeaveRack(unit, isOverdue(unit), waitedMillis(unit));
        return new DemandKey(
                unit.job().service(),
                unit.demand(),
                constraints.label(),
                constraints.nearRack(),
                leavesRack,
                mayTakeHeldCapacity(unit),
                unit.priority() == 0,
                isClaim(unit));
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
        for (LocalityTier tier : localityTiers(unit)) {
            if (placeInFreeCapacity(unit, tier, TargetState::freeAtOnce)) {
                return;
            }
        }
        for (int i = 0; i < unit.size(); i++) {
            held.get(i).put(unit.tasks().get(i), Phase.RESERVED);
        }
    }

    /** Takes resources that a gang holds in vain, for a unit that has waited while most of the capacity is free. */
    private boolean takeHeldCapacity(PlacementUnit unit, LocalityTier tier) {
        HeldCapacity held = new HeldCapacity(unit);
        if (!mayTakeHeldCapacity(unit) || !placeInFreeCapacity(unit, tier, held::available)) {
            return false;
        }
        held.release(unit.targets(), context.taskLifecycle());
        return true;
    }

    private boolean mayTakeHeldCapacity(PlacementUnit unit) {
        return waitedMillis(unit) > AMPLE_ROOM_LOCALITY_WAIT_MILLIS
                && mostlyFreeByService.computeIfAbsent(unit.job().service(), placement::isMostlyFree);
    }

    private List<LocalityTier> localityTiers(PlacementUnit unit) {
        Map<String, List<TargetState>> racks = placement.eligibleTargetsByRack(unit, now.monotonicNanos());
        Predicate<TargetState> failed =
                target -> context.targetHealth().isExcludedForJob(unit.job().id(), target, targets);
        if (!context.targetHealth().hasFailed(unit.job().id()) || placement.fitsOnIdle(unit, failed.negate())) {
            racks.values().forEach(rack -> rack.removeIf(failed));
        }
        return LocalityTier.of(unit, racks, isOverdue(unit), waitedMillis(unit));
    }

    private long waitedMillis(PlacementUnit unit) {
        return now.millisSince(unit.step().readyNanos);
    }

    /**
     * Returns whether the unit has waited too long to require the best locality. While there is ample room, the longer
     * run that results takes nothing from others.
     */
    private boolean isOverdue(PlacementUnit unit) {
        long waitedMillis = waitedMillis(unit);
        return waitedMillis > CLAIM_LOCALITY_WAIT_MILLIS && isClaim(unit)
                || waitedMillis > AMPLE_ROOM_LOCALITY_WAIT_MILLIS && hasAmpleRoom(unit);
    }

    /** Returns whether most of the capacity is free, and enough at once for twice the unit. */
    private boolean hasAmpleRoom(PlacementUnit unit) {
        return mostlyFreeByService.computeIfAbsent(unit.job().service(), placement::isMostlyFree)
                && placement.fitsTwice(unit, now.monotonicNanos());
    }

    private boolean isClaim(PlacementUnit unit) {
        return unit.priority() == 0
                && accountDemand.isWithinGuarantee(unit.job().account());
    }

    private boolean placeInFreeCapacity(
            PlacementUnit unit, LocalityTier tier, Function<TargetState, Resources> available) {
        List<TargetState> best = null;
        long leastFree = Long.MAX_VALUE;
        for (List<TargetState> group : tier.groups()) {
            List<TargetState> chosen = Placement.selectTargets(unit, group, available);
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
        reserve(unit, best, "free");
        return true;
    }

    /** Reserves resources of tasks that are about to complete, which avoids a preemption. */
    private boolean waitForCompletions(PlacementUnit unit, LocalityTier tier) {
        if (unit.priority() != 0 || waitedMillis(unit) > COMPLETION_WAIT_CHOICE_MILLIS) {
            return false;
        }
        PreemptionPlanner.Plan best =
                cheapestPlan(unit, tier, PlacementPass::runsToCompletion, PreemptionPlanner.CostModel.REMAINING_TIME);
        if (best == null || best.cost() > completionWaitBudgetSeconds(unit)) {
            return false;
        }
        reserve(unit, best.targets(), "soon");
        setReservationExpiry(unit, COMPLETION_WAIT_TIMEOUT_MILLIS - waitedMillis(unit));
        return true;
    }

    /** Returns how long a unit may wait for completions without endangering its objective, in seconds. */
    private double completionWaitBudgetSeconds(PlacementUnit unit) {
        double slackSeconds = unit.step().slackMillis(now) / MILLIS_PER_SECOND;
        return Math.clamp(
                COMPLETION_WAIT_SLACK_FRACTION * slackSeconds,
                MIN_COMPLETION_WAIT_SECONDS,
                MAX_COMPLETION_WAIT_SECONDS);
    }

    private static boolean runsToCompletion(TaskExecution task) {
        return task.phase == Phase.RUNNING && !task.step.spec.mode().lasting();
    }

    private PreemptionPlanner.Plan cheapestPlan(
            PlacementUnit unit,
            LocalityTier tier,
            Predicate<TaskExecution> allowed,
            PreemptionPlanner.CostModel costModel) {
        PreemptionPlanner.Plan best = null;
        for (List<TargetState> group : tier.groups()) {
            PreemptionPlanner.Plan plan = PreemptionPlanner.find(unit, group, allowed, costModel, now);
            if (plan != null && (best == null || plan.cost() < best.cost())) {
                best = plan;
            }
        }
        return best;
    }

    /** Returns the maximum work lost by preemption for a unit beyond its guarantee, in core-seconds. */
    private static double lossBudgetCoreSeconds(PlacementUnit unit) {
        double work =
                unit.size() * unit.demand().coreEquivalents() * unit.step().spec.estimateSeconds();
        return Math.max(MIN_LOSS_BUDGET_CORE_SECONDS, MAX_LOSS_FACTOR * work);
    }

    /**
     * Stops tasks of lower priority to make room for a unit of the highest priority. A claim may also stop tasks of the
     * highest priority whose accounts exceed their guarantees.
     */
    private boolean preempt(PlacementUnit unit, LocalityTier tier) {
        if (unit.priority() != 0) {
            return false;
        }
        boolean claim = isClaim(unit);
        Predicate<TaskExecution> allowed = task -> task.job().terms().priority() > 0
                || claim && !accountDemand.isWithinGuarantee(task.job().account());
        PreemptionPlanner.Plan best = cheapestPlan(unit, tier, allowed, PreemptionPlanner.CostModel.LOST_WORK);
        if (best == null || !claim && best.cost() > lossBudgetCoreSeconds(unit)) {
            return false;
        }
        String why = claim ? "claim" : "priority";
        for (TaskExecution task : best.victims()) {
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
                    why,
                    unit.job().id());
            context.taskLifecycle().stop(task, now);
        }
        countPreemptions(best.victims());
        reserve(unit, best.targets(), why);
        return true;
    }

    private static void countPreemptions(List<TaskExecution> victims) {
        Set<StepExecution> steps = new HashSet<>();
        for (TaskExecution task : victims) {
            if (task.phase == Phase.STOPPING && steps.add(task.step)) {
                task.step.preemptionCount++;
            }
        }
    }

    /** Reserves the resources of running tasks that will complete first, so that a large gang does not starve. */
    private boolean reserveInAdvance(PlacementUnit unit, LocalityTier tier) {
        if (advanceReservations >= MAX_ADVANCE_RESERVATIONS
                || waitedMillis(unit) < ADVANCE_RESERVATION_WAIT_MILLIS
                || !unit.step().spec.mode().gang()) {
            return false;
        }
        PreemptionPlanner.Plan best =
                cheapestPlan(unit, tier, PlacementPass::runsToCompletion, PreemptionPlanner.CostModel.REMAINING_TIME);
        if (best == null) {
            return false;
        }
        advanceReservations++;
        reserve(unit, best.targets(), "set-aside");
        setReservationExpiry(unit, ADVANCE_RESERVATION_HOLD_MILLIS);
        return true;
    }

    private void setReservationExpiry(PlacementUnit unit, long millis) {
        unit.tasks().forEach(task -> task.reservationExpiresNanos = now.nanosAfter(millis));
    }

    private void reserve(PlacementUnit unit, List<TargetState> chosen, String why) {
        for (int i = 0; i < unit.size(); i++) {
            TaskExecution task = unit.tasks().get(i);
            task.reservedNanos = now.monotonicNanos();
            task.reservationExpiresNanos = now.monotonicNanos();
            chosen.get(i).put(task, Phase.RESERVED);
        }
        LOG.infof(
                "place: request=%s step=%s tasks=%s cores=%.1f account=%s target=%s why=%s waited_ms=%s",
                unit.job().id(),
                unit.step().number,
                unit.size(),
                unit.demand().coreEquivalents(),
                unit.job().account(),
                chosen.get(0).id,
                why,
                waitedMillis(unit));
    }
}
