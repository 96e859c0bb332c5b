package org.acaciaport.pool;

import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * The order in which targets are taken, as far as it depends on speed; among targets that are alike, the fullest come
 * first.
 *
 * <p>Immutable.
 *
 * @param comparator the order of targets
 * @param groupCost how unsuitable the speeds of chosen targets are, to compare those of several groups
 */
record TargetOrder(Comparator<TargetState> comparator, ToLongFunction<List<TargetState>> groupCost) {
    /** Regardless of speed. */
    static final TargetOrder FULLEST_FIRST = new TargetOrder((one, other) -> 0, chosen -> 0);

    /** By falling speed; for gangs, the group whose slowest target is fastest. */
    static final TargetOrder FASTEST_FIRST = new TargetOrder(
            Comparator.comparingLong(target -> -speedClass(target)), chosen -> -lowestSpeedClass(chosen));

    /** Ratio of speeds within which targets count as equally fast. */
    private static final double CLASS_RATIO = 1.25;

    /** Returns an order with the targets below {@code speed} first, which leaves the others to urgent work. */
    static TargetOrder slowerFirst(double speed) {
        return new TargetOrder(Comparator.comparing(target -> target.speed >= speed), chosen -> 0);
    }

    /** Returns an order with those targets first that very probably have {@code speed}. */
    static TargetOrder probablyAtLeast(double speed) {
        return new TargetOrder(Comparator.comparing(target -> target.probableSpeed < speed), chosen -> chosen.stream()
                .filter(target -> target.probableSpeed < speed)
                .count());
    }

    /** Returns this order after idle targets of unknown speed, whose speed the work will show. */
    TargetOrder measuringFirst() {
        Comparator<TargetState> unknown = Comparator.comparing(target -> target.speedKnown || !target.tasks.isEmpty());
        return new TargetOrder(unknown.thenComparing(comparator), groupCost);
    }

    private static long lowestSpeedClass(List<TargetState> targets) {
        long lowest = Long.MAX_VALUE;
        for (TargetState target : targets) {
            lowest = Math.min(lowest, speedClass(target));
        }
        return lowest;
    }

    private static long speedClass(TargetState target) {
        return Math.round(Math.log(target.speed) / Math.log(CLASS_RATIO));
    }
}
