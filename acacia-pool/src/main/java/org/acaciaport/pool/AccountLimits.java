package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which units of a pass the limits of their client accounts admit.
 *
 * <p>A unit that is not admitted takes no further part in the pass. Resources of runs that are stopping are available
 * for reservations of the highest priority only, and for {@value #MAX_HOLD_MILLIS} ms: other work would hold free
 * resources that other accounts could use. Created anew for each pass. Not thread-safe; confined to the thread of the
 * pool.
 */
final class AccountLimits {
    /**
     * Longest time for which a unit holds free resources until its account's stopped runs have ended, in milliseconds.
     * A stop takes much less, but the runs on a silent target count until the end of its lease.
     */
    static final long MAX_HOLD_MILLIS = 1_000;

    /**
     * Time after which a unit that waits for its limit keeps later units of its account from using up what becomes
     * free, in milliseconds. Otherwise, small tasks could keep out a gang for ever.
     */
    private static final long MAX_OVERTAKING_MILLIS = 3_000;

    /** Gain of a victim that frees nothing of what is lacking, which sorts it last. */
    private static final double MIN_GAIN = 1e-9;

    private final AccountUsage usage;
    private final Map<String, AccountTerms> accounts;
    private final LimitMonitor monitor;
    private final OverdueStops overdueStops;
    private final ClockReading now;

    /** Accounts with a unit that later units below the highest priority may not overtake. */
    private final Set<String> closed = new HashSet<>();

    /** Units for which no running tasks of their accounts could make room in this pass. */
    private final FailedUnits<SearchKey> unsearchable = new FailedUnits<>();

    AccountLimits(
            AccountUsage usage,
            Map<String, AccountTerms> accounts,
            LimitMonitor monitor,
            OverdueStops overdueStops,
            ClockReading now) {
        this.usage = usage;
        this.accounts = accounts;
        this.monitor = monitor;
        this.overdueStops = overdueStops;
        this.now = now;
    }

    /**
     * What units must share so that the failed search of one answers for another.
     *
     * @param account account of the units
     * @param kind kind of the units; null if they are comparable only within a step
     * @param step step of the units; null unless {@code kind} is
     */
    private record SearchKey(String account, PlacementKind kind, StepExecution step) {
        static SearchKey of(PlacementUnit unit, PlacementKind kind) {
            return new SearchKey(unit.job().account(), kind, kind == null ? unit.step() : null);
        }
    }

    /** Returns whether resources may be reserved for {@code unit}. */
    boolean admits(PlacementUnit unit) {
        AccountTerms terms = terms(unit);
        if (!terms.hasLimit()) {
            return true;
        }
        String account = unit.job().account();
        if (unit.priority() == 0 && !unit.step().limitHoldExpired) {
            return terms.isWithinLimit(usage.committed(account).plus(unit.fullDemand()));
        }
        return (unit.priority() == 0 || !closed.contains(account))
                && terms.isWithinLimit(usage.occupied(account).plus(unit.fullDemand()));
    }

    /** Returns whether the account of {@code unit} has a limit. */
    boolean apply(PlacementUnit unit) {
        return terms(unit).hasLimit();
    }

    /** Returns whether a start of {@code unit} keeps its account within the limit. */
    boolean mayStart(PlacementUnit unit) {
        AccountTerms terms = terms(unit);
        return !terms.hasLimit()
                || terms.isWithinLimit(usage.running(unit.job().account()).plus(unit.fullDemand()));
    }

    /** Returns whether a unit whose resources are free but whose account is at its limit may keep its reservation. */
    boolean mayHold(PlacementUnit unit) {
        return unit.priority() == 0 && now.millisSince(unit.tasks().get(0).reservedNanos) < MAX_HOLD_MILLIS;
    }

    /** Records that {@code unit}, which is not admitted, waits. */
    void holdBack(PlacementUnit unit) {
        AccountTerms terms = terms(unit);
        String account = unit.job().account();
        monitor.recordHeldBack(unit, terms, usage, now);
        boolean fitsInTime = terms.isWithinLimit(usage.lasting(account).plus(unit.fullDemand()));
        boolean overdue =
                unit.step().limitHoldExpired || now.millisSince(unit.step().readyNanos) > MAX_OVERTAKING_MILLIS;
        if (fitsInTime && overdue) {
            closed.add(account);
        }
    }

    /**
     * Returns whether {@code unit} would fit the limit if tasks of its account below the highest priority ended, but
     * does not otherwise, or only once overdue stops are done.
     */
    boolean mayDisplaceOwnWork(PlacementUnit unit) {
        AccountTerms terms = terms(unit);
        if (unit.priority() != 0 || !terms.hasLimit()) {
            return false;
        }
        String account = unit.job().account();
        Resources kept = remaining(account).minus(usage.yielding(account));
        return !fitsAfter(unit, Resources.NONE) && terms.isWithinLimit(kept.plus(unit.fullDemand()));
    }

    /** Returns the resources in use once the pending stops are done, except those that are overdue. */
    private Resources remaining(String account) {
        return usage.committed(account).plus(overdueStops.of(account));
    }

    /**
     * Returns whether an earlier search in this pass shows that no tasks of its account can make room for {@code unit}.
     *
     * @param kind kind of the unit; null if its searches answer for no other step
     */
    boolean isSearchAnswered(PlacementUnit unit, PlacementKind kind) {
        return unsearchable.rulesOut(SearchKey.of(unit, kind), unit);
    }

    /** Records that no tasks of the account of {@code unit} can make room for it in this pass. */
    void recordSearchFailed(PlacementUnit unit, PlacementKind kind) {
        unsearchable.add(SearchKey.of(unit, kind), unit);
    }

    /**
     * Returns whether {@code unit} fits the limit once {@code ended} of its account have ended, without regard to stops
     * that are overdue.
     */
    boolean fitsAfter(PlacementUnit unit, Resources ended) {
        Resources remaining = remaining(unit.job().account()).minus(ended);
        return terms(unit).isWithinLimit(remaining.plus(unit.fullDemand()));
    }

    /** Returns which part of what {@code unit} lacks under its limit {@code freed} would give; at least a little. */
    double excessFreed(PlacementUnit unit, Resources freed) {
        Resources limit = terms(unit).limit();
        Resources lacking =
                remaining(unit.job().account()).plus(unit.fullDemand()).minus(limit);
        double sum = MIN_GAIN;
        sum += part(freed.cpuMillis(), lacking.cpuMillis(), limit.cpuMillis());
        sum += part(freed.memoryMb(), lacking.memoryMb(), limit.memoryMb());
        sum += part(freed.accelerators(), lacking.accelerators(), limit.accelerators());
        return sum;
    }

    private static double part(long freed, long lacking, long limit) {
        return limit == 0 || lacking <= 0 ? 0 : (double) Math.min(freed, lacking) / lacking;
    }

    /** Cancels reservations, last ones in scheduling order first, of accounts whose limit was lowered below them. */
    void cancelExcessReservations(List<PlacementUnit> units, TaskLifecycle taskLifecycle) {
        Set<String> exceeding = new HashSet<>();
        accounts.forEach((account, terms) -> {
            if (!terms.isWithinLimit(usage.committed(account))) {
                exceeding.add(account);
            }
        });
        if (exceeding.isEmpty()) {
            return;
        }
        List<PlacementUnit> reversed = new ArrayList<>(units);
        Collections.reverse(reversed);
        for (PlacementUnit unit : reversed) {
            String account = unit.job().account();
            if (exceeding.contains(account)
                    && unit.isIn(Phase.RESERVED)
                    && !terms(unit).isWithinLimit(usage.committed(account))) {
                unit.tasks().forEach(taskLifecycle::cancelReservation);
            }
        }
    }

    private AccountTerms terms(PlacementUnit unit) {
        return accounts.getOrDefault(unit.job().account(), AccountTerms.NONE);
    }
}
