package org.acaciaport.pool;

import java.util.function.Predicate;

/**
 * A search for resources in use that a unit may reserve: those of tasks that complete soon enough, or of tasks to stop.
 *
 * <p>Only decides and changes no state, so it relies on its caller to make the reservation. Created anew for each pass.
 * Not thread-safe; confined to the thread of the pool.
 */
final class OccupiedResourceSearch {
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

    /** Maximum work lost by preemption for a unit beyond its guarantee, as a multiple of the work of the unit. */
    private static final double MAX_LOSS_FACTOR = 2.0;

    /** The same for a unit that is late, and gains less by starting soon. */
    private static final double LATE_MAX_LOSS_FACTOR = 0.5;

    /** Work that may be lost for any unit of the highest priority that is in time, however small, in core-seconds. */
    private static final double MIN_LOSS_BUDGET_CORE_SECONDS = 1_000;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final AccountDemand accountDemand;
    private final RunEstimates estimates;
    private final ClockReading now;
    private final SearchEffort effort;
    private final FailedUnits<FailureKey> failedUnits = new FailedUnits<>();

    OccupiedResourceSearch(AccountDemand accountDemand, RunEstimates estimates, SearchEffort effort, ClockReading now) {
        this.accountDemand = accountDemand;
        this.estimates = estimates;
        this.effort = effort;
        this.now = now;
    }

    /**
     * What is searched, and for which unit.
     *
     * @param unit unit to place
     * @param kind kind of the unit; null if its searches rule out no other
     * @param tier targets to choose from
     * @param tierNumber position of the tier among those of the unit
     */
    record Scope(PlacementUnit unit, PlacementKind kind, LocalityTier tier, int tierNumber) {}

    /** The tasks that may make room. */
    private enum Candidates {
        PREEMPTIBLE,
        COMPLETING
    }

    private record FailureKey(PlacementKind kind, int tierNumber, Candidates candidates) {}

    private static boolean mayWaitForCompletions(PlacementUnit unit, long waitedMillis) {
        return unit.priority() == 0 && waitedMillis <= COMPLETION_WAIT_CHOICE_MILLIS;
    }

    private static boolean mayReserveInAdvance(PlacementUnit unit, long waitedMillis) {
        return waitedMillis >= ADVANCE_RESERVATION_WAIT_MILLIS
                && unit.step().spec.mode().gang();
    }

    /**
     * Returns whether no search for {@code unit} is possible now, or earlier ones show that each of them would fail.
     *
     * @param kind kind of the unit; null if other units are not comparable with it
     * @param waitedMillis time that the unit has waited, in milliseconds
     * @param mayReserve whether advance reservations are possible
     */
    boolean isRuledOut(PlacementUnit unit, PlacementKind kind, long waitedMillis, boolean mayReserve) {
        boolean waits = mayWaitForCompletions(unit, waitedMillis);
        boolean reserves = mayReserve && mayReserveInAdvance(unit, waitedMillis);
        if (unit.priority() > 0 && !reserves) {
            return true;
        }
        if (kind == null) {
            return false;
        }
        for (int tier = 0; tier < kind.tierCount(); tier++) {
            FailureKey completing = new FailureKey(kind, tier, Candidates.COMPLETING);
            FailureKey preemptible = new FailureKey(kind, tier, Candidates.PREEMPTIBLE);
            boolean open = waits && !failedUnits.rulesOut(completing, unit, completionWaitBudgetSeconds(unit))
                    || unit.priority() == 0
                            && !failedUnits.rulesOut(preemptible, unit, lossBudgetCoreSeconds(unit, kind.claim()))
                    || reserves && !failedUnits.rulesOut(completing, unit, Double.MAX_VALUE);
            if (open) {
                return false;
            }
        }
        return true;
    }

    /** Forgets for which units there is no room, since resources were freed. */
    void recordFreedResources() {
        failedUnits.clear();
    }

    /**
     * Returns a reservation of resources of tasks that are about to complete, which avoids a preemption; null if there
     * is none.
     *
     * @param waitedMillis time that the unit has waited, in milliseconds
     */
    Reservation findCompletions(Scope scope, long waitedMillis) {
        PlacementUnit unit = scope.unit();
        if (!mayWaitForCompletions(unit, waitedMillis)) {
            return null;
        }
        PreemptionPlanner.Plan best = firstCompletions(scope, completionWaitBudgetSeconds(unit));
        if (best == null) {
            return null;
        }
        long expiresNanos = now.nanosAfter(COMPLETION_WAIT_TIMEOUT_MILLIS - waitedMillis);
        return Reservation.withoutVictims(best.targets(), "soon", expiresNanos);
    }

    /** Returns how long a unit may wait for completions without endangering its objective, in seconds. */
    private double completionWaitBudgetSeconds(PlacementUnit unit) {
        double slackSeconds = unit.step().slackMillis(now) / MILLIS_PER_SECOND;
        return Math.clamp(
                COMPLETION_WAIT_SLACK_FRACTION * slackSeconds,
                MIN_COMPLETION_WAIT_SECONDS,
                MAX_COMPLETION_WAIT_SECONDS);
    }

    /**
     * Returns a reservation with tasks of lower priority to stop for a unit of the highest priority; null if there is
     * none. A claim may also stop tasks of the highest priority whose accounts exceed their guarantees.
     *
     * @param claim whether the unit is a claim
     */
    Reservation findPreemption(Scope scope, boolean claim) {
        PlacementUnit unit = scope.unit();
        if (unit.priority() != 0) {
            return null;
        }
        Predicate<TaskExecution> allowed = task -> task.job().terms().priority() > 0
                || claim && !accountDemand.isWithinGuarantee(task.job().account());
        PreemptionPlanner.Plan best =
                cheapestPlan(scope, Candidates.PREEMPTIBLE, allowed, lossBudgetCoreSeconds(unit, claim));
        if (best == null) {
            return null;
        }
        String why = claim ? "claim" : "priority";
        return new Reservation(best.targets(), best.victims(), why, best.cost(), now.monotonicNanos());
    }

    /** Returns the maximum work lost by preemption for a unit, in core-seconds; not limited for a claim. */
    private double lossBudgetCoreSeconds(PlacementUnit unit, boolean claim) {
        if (claim) {
            return Double.MAX_VALUE;
        }
        double work = unit.size() * unit.demand().coreEquivalents() * estimates.seconds(unit.step());
        return switch (unit.step().deadlineStatus(now)) {
            case IN_TIME -> Math.max(MIN_LOSS_BUDGET_CORE_SECONDS, MAX_LOSS_FACTOR * work);
            case LATE -> LATE_MAX_LOSS_FACTOR * work;
            case MISSED -> 0;
        };
    }

    /**
     * Returns an advance reservation of resources of running tasks that will complete first, so that a large gang does
     * not starve; null if there is none.
     *
     * @param waitedMillis time that the unit has waited, in milliseconds
     */
    Reservation findAdvanceReservation(Scope scope, long waitedMillis) {
        if (!mayReserveInAdvance(scope.unit(), waitedMillis)) {
            return null;
        }
        PreemptionPlanner.Plan best = firstCompletions(scope, Double.MAX_VALUE);
        if (best == null) {
            return null;
        }
        long expiresNanos = now.nanosAfter(ADVANCE_RESERVATION_HOLD_MILLIS);
        return Reservation.withoutVictims(best.targets(), "set-aside", expiresNanos);
    }

    /** Returns the plan whose last running task completes first; null if there is none within the budget. */
    private PreemptionPlanner.Plan firstCompletions(Scope scope, double budgetSeconds) {
        Predicate<TaskExecution> allowed =
                task -> task.phase == Phase.RUNNING && !task.step.spec.mode().lasting();
        return cheapestPlan(scope, Candidates.COMPLETING, allowed, budgetSeconds);
    }

    /** Returns the cheapest plan, or null if there is none within the budget. */
    private PreemptionPlanner.Plan cheapestPlan(
            Scope scope, Candidates candidates, Predicate<TaskExecution> allowed, double budget) {
        PlacementUnit unit = scope.unit();
        FailureKey key = new FailureKey(scope.kind(), scope.tierNumber(), candidates);
        if (scope.kind() != null && failedUnits.rulesOut(key, unit, budget)) {
            return null;
        }
        effort.searches++;
        PreemptionPlanner.CostModel costModel = candidates == Candidates.PREEMPTIBLE
                ? PreemptionPlanner.CostModel.LOST_WORK
                : PreemptionPlanner.CostModel.REMAINING_TIME;
        PreemptionPlanner.Plan plan =
                PreemptionPlanner.findCheapest(unit, scope.tier().groups(), allowed, costModel, now, effort);
        if (plan != null && plan.cost() <= budget) {
            return plan;
        }
        if (scope.kind() != null) {
            failedUnits.add(key, unit, plan == null ? Double.POSITIVE_INFINITY : plan.cost());
        }
        return null;
    }
}
