package org.acaciaport.pool;

import java.util.Comparator;

/**
 * The order in which the targets of a tier are filled, as far as it depends on speed; among targets that are alike, the
 * fullest come first.
 *
 * <p>Immutable.
 *
 * @param comparator the order
 */
record TargetOrder(Comparator<TargetState> comparator) {
    /** Regardless of speed. */
    static final TargetOrder FULLEST_FIRST = new TargetOrder((one, other) -> 0);

    /** By falling speed. */
    static final TargetOrder FASTEST_FIRST = new TargetOrder(Comparator.comparingLong(target -> -speedClass(target)));

    /** Ratio of speeds within which targets count as equally fast. */
    private static final double CLASS_RATIO = 1.25;

    /** Returns an order with the targets below {@code speed} first, which leaves the others to urgent work. */
    static TargetOrder slowerFirst(double speed) {
        return new TargetOrder(Comparator.comparing(target -> target.speed >= speed));
    }

    /** Returns this order after idle targets of unknown speed, whose speed the work will show. */
    TargetOrder measuringFirst() {
        Comparator<TargetState> unknown = Comparator.comparing(target -> target.speedKnown || !target.tasks.isEmpty());
        return new TargetOrder(unknown.thenComparing(comparator));
    }

    private static long speedClass(TargetState target) {
        return Math.round(Math.log(target.speed) / Math.log(CLASS_RATIO));
    }
}
