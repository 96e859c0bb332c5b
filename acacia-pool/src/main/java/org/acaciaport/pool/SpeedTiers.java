package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The choice of targets by speed, for pools whose targets differ in speed.
 *
 * <p>Serves a load in which urgent work would be late on slow targets although faster ones are free or hold work with
 * slack. A unit that can complete within its objective only on faster targets accepts no slower ones until no target
 * would be fast enough. Work with slack takes slow targets first, and a few of unknown speed before those, which
 * measures them. Created anew for each pass. Not thread-safe; confined to the thread of the pool.
 */
final class SpeedTiers {
    /** Time between the decision to start and the first progress, and from the end until it is known, in seconds. */
    private static final double OVERHEAD_SECONDS = 0.2;

    /** Factor by which a target must be faster than needed, for the error of the estimates. */
    private static final double MARGIN = 1.1;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** Time for which a unit accepts no targets whose speed is uncertain, in milliseconds. */
    private static final long PROBABLE_SPEED_WAIT_MILLIS = 300;

    /** One in so many targets may be measured at a time, as measuring spreads work over targets that are idle. */
    private static final int MEASURED_DIVISOR = 8;

    private final RunEstimates estimates;
    private final Collection<TargetState> targets;
    private final ClockReading now;
    private final boolean active;

    /** The range of speeds of each service, as far as a unit asked for it. */
    private final Map<String, Range> ranges = new HashMap<>();

    /** Number of units that may still be sent to targets of unknown speed; negative until it is known. */
    private int measurable = -1;

    SpeedTiers(RunEstimates estimates, Collection<TargetState> targets, ClockReading now) {
        this.estimates = estimates;
        this.targets = targets;
        this.now = now;
        active = estimates.mayChooseBySpeed();
    }

    /** The lowest and highest speed of the targets that take new work. */
    private record Range(double slowest, double fastest) {}

    private Range rangeOf(PlacementUnit unit) {
        return ranges.computeIfAbsent(unit.job().service(), service -> {
            double slowest = Double.MAX_VALUE;
            double fastest = 0;
            for (TargetState target : targets) {
                if (target.registered
                        && !target.info.draining()
                        && target.info.service().equals(service)) {
                    slowest = Math.min(slowest, target.speed);
                    fastest = Math.max(fastest, target.speed);
                }
            }
            return new Range(slowest, fastest);
        });
    }

    /** Returns whether the speed that {@code unit} needs decides which targets it accepts. */
    boolean isSelective(PlacementUnit unit) {
        if (!active || unit.step().spec.mode().lasting()) {
            return false;
        }
        double speed = neededSpeed(unit);
        Range range = rangeOf(unit);
        return speed > range.slowest && speed <= range.fastest;
    }

    /**
     * Returns which targets {@code unit} accepts: at first those that very probably have the speed that it needs, then
     * those that are expected to have it, as far as it would fit there on idle targets.
     *
     * @param tiers tiers by locality
     */
    SpeedLimit limit(PlacementUnit unit, List<LocalityTier> tiers) {
        if (!isSelective(unit)) {
            return SpeedLimit.NONE;
        }
        double speed = neededSpeed(unit);
        SpeedLimit probable = new SpeedLimit(speed, true);
        boolean isNew = now.millisSince(unit.step().readyNanos) < PROBABLE_SPEED_WAIT_MILLIS;
        if (isNew && fitsOnIdle(unit, filter(tiers, probable))) {
            return probable;
        }
        SpeedLimit expected = new SpeedLimit(speed, false);
        return fitsOnIdle(unit, filter(tiers, expected)) ? expected : SpeedLimit.NONE;
    }

    /** Returns the speed with which the unit completes within its objective if it starts now. */
    private double neededSpeed(PlacementUnit unit) {
        double seconds = estimates.seconds(unit.step());
        double left = seconds + unit.step().slackMillis(now) / MILLIS_PER_SECOND - OVERHEAD_SECONDS;
        return left <= 0 ? Double.MAX_VALUE : MARGIN * seconds / left;
    }

    /**
     * Returns the tiers without targets that are too slow for {@code unit}, in its order of preference.
     *
     * @param tiers tiers by locality, best first
     * @param mayWait whether the unit may wait for faster targets
     */
    List<LocalityTier> apply(PlacementUnit unit, List<LocalityTier> tiers, boolean mayWait) {
        if (!active || unit.step().spec.mode().lasting()) {
            return tiers;
        }
        double speed = neededSpeed(unit);
        Range range = rangeOf(unit);
        recordUrgentSpeed(unit, Math.min(speed, range.fastest));
        if (speed <= range.slowest || speed > range.fastest && unit.priority() > 0) {
            return inOrder(tiers, orderWithSlack());
        }
        SpeedLimit limit = mayWait ? limit(unit, tiers) : SpeedLimit.NONE;
        return limit.equals(SpeedLimit.NONE)
                ? inOrder(tiers, TargetOrder.FASTEST_FIRST)
                : inOrder(filter(tiers, limit), TargetOrder.probablyAtLeast(speed));
    }

    /** Records the speed that a step of the highest priority needs when it is first placed. */
    private void recordUrgentSpeed(PlacementUnit unit, double speed) {
        if (unit.priority() == 0 && !unit.step().speedRecorded) {
            unit.step().speedRecorded = true;
            estimates.recordUrgentSpeed(speed);
        }
    }

    /**
     * Returns the order for work that any target completes in time. A part of it goes to targets of unknown speed, as
     * long as few of these hold work.
     */
    private TargetOrder orderWithSlack() {
        if (measurable < 0) {
            measurable = Math.max(0, countMeasurable());
        }
        TargetOrder order = TargetOrder.slowerFirst(estimates.urgentSpeed());
        if (measurable == 0) {
            return order;
        }
        measurable--;
        return order.measuringFirst();
    }

    private int countMeasurable() {
        int measuring = 0;
        int registered = 0;
        for (TargetState target : targets) {
            registered += target.registered ? 1 : 0;
            measuring += !target.speedKnown && !target.tasks.isEmpty() ? 1 : 0;
        }
        return registered / MEASURED_DIVISOR - measuring;
    }

    private static List<LocalityTier> filter(List<LocalityTier> tiers, SpeedLimit limit) {
        return tiers.stream().map(tier -> tier.within(limit)).toList();
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
