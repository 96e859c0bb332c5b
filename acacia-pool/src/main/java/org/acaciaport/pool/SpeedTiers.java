package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;

/**
 * The choice of targets by speed, for pools whose targets differ in speed.
 *
 * <p>Answers a load in which urgent work would be late on slow targets although faster ones are free or hold work with
 * slack. A unit that can complete within its objective only on faster targets accepts no slower ones until no target
 * would be fast enough. Work with slack takes slow targets first, and a few of unknown speed before those, which
 * measures them. Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class SpeedTiers {
    /** Time between the decision to start and the first progress, and from the end until it is known, in seconds. */
    private static final double OVERHEAD_SECONDS = 0.2;

    /** Factor by which a target must be faster than needed, for the error of the estimates. */
    private static final double MARGIN = 1.1;

    /** One in so many targets may be measured at a time, as measuring spreads work over targets that are idle. */
    private static final int MEASURED_DIVISOR = 8;

    private final RunEstimates estimates;
    private final Collection<TargetState> targets;
    private final ClockReading now;
    private final boolean active;
    private final double slowest;
    private final double fastest;

    SpeedTiers(RunEstimates estimates, Collection<TargetState> targets, ClockReading now) {
        this.estimates = estimates;
        this.targets = targets;
        this.now = now;
        active = estimates.mayChooseBySpeed();
        double min = Double.MAX_VALUE;
        double max = 0;
        for (TargetState target : targets) {
            if (target.registered) {
                min = Math.min(min, target.speed);
                max = Math.max(max, target.speed);
            }
        }
        slowest = min;
        fastest = max;
    }

    /** Returns whether targets are chosen by speed: the part is in use, and they differ. */
    boolean isActive() {
        return active;
    }

    /**
     * Returns the speed that the targets of {@code unit} need so that it completes within its objective; 0 if any speed
     * will do or none would be fast enough.
     */
    double requiredSpeed(PlacementUnit unit) {
        if (!active || unit.step().spec.mode().lasting()) {
            return 0;
        }
        double speed = neededSpeed(unit);
        return speed <= slowest || speed > fastest ? 0 : speed;
    }

    private double neededSpeed(PlacementUnit unit) {
        double seconds = estimates.seconds(unit.step());
        double left = seconds + unit.step().slackMillis(now) / 1e3 - OVERHEAD_SECONDS;
        return left <= 0 ? Double.MAX_VALUE : MARGIN * seconds / left;
    }

    /**
     * Returns the tiers without targets that are too slow for {@code unit}, in its order of preference: those whose
     * targets are fast enough with high probability, then those whose expected speed suffices.
     *
     * @param tiers tiers by locality, best first
     * @param patient whether the unit may wait for faster targets
     */
    List<LocalityTier> apply(PlacementUnit unit, List<LocalityTier> tiers, boolean patient) {
        if (!active || unit.step().spec.mode().lasting()) {
            return tiers;
        }
        double speed = neededSpeed(unit);
        if (unit.priority() == 0) {
            estimates.recordUrgentSpeed(Math.min(speed, fastest));
        }
        if (speed <= slowest || speed > fastest && unit.priority() > 0) {
            TargetOrder order = TargetOrder.slowerFirst(estimates.urgentSpeed());
            return inOrder(tiers, mayMeasureMore() ? order.measuringFirst() : order);
        }
        if (speed > fastest || !patient) {
            return inOrder(tiers, TargetOrder.FASTEST_FIRST);
        }
        List<LocalityTier> probable = filter(tiers, target -> target.probableSpeed >= speed);
        List<LocalityTier> expected = filter(tiers, target -> target.speed >= speed);
        if (!fitsOnIdle(unit, expected)) {
            return inOrder(tiers, TargetOrder.FASTEST_FIRST);
        }
        List<LocalityTier> result = new ArrayList<>(probable);
        result.addAll(inOrder(expected, TargetOrder.FASTEST_FIRST));
        return result;
    }

    /** Returns whether few enough targets are being measured that work with slack may be spread over further ones. */
    private boolean mayMeasureMore() {
        int measuring = 0;
        int registered = 0;
        for (TargetState target : targets) {
            registered += target.registered ? 1 : 0;
            measuring += !target.speedKnown && !target.tasks.isEmpty() ? 1 : 0;
        }
        return measuring * MEASURED_DIVISOR < registered;
    }

    private static List<LocalityTier> filter(List<LocalityTier> tiers, Predicate<TargetState> usable) {
        return tiers.stream().map(tier -> tier.filter(usable).forSpeed()).toList();
    }

    private static List<LocalityTier> inOrder(List<LocalityTier> tiers, TargetOrder order) {
        return tiers.stream().map(tier -> tier.inOrder(order)).toList();
    }

    private static boolean fitsOnIdle(PlacementUnit unit, List<LocalityTier> tiers) {
        for (LocalityTier tier : tiers) {
            for (List<TargetState> group : tier.groups()) {
                int slots = 0;
                for (TargetState target : group) {
                    slots += Placement.countSlots(unit, target, target.capacity());
                }
                if (slots >= unit.size()) {
                    return true;
                }
            }
        }
        return false;
    }
}
