package org.acaciaport.pool;

/**
 * The properties, other than demand and size, that decide where a unit fits and which running tasks may make room for
 * it. Of two units of the same kind, the one that needs less fits wherever the other does.
 *
 * <p>Immutable.
 *
 * @param service name of the service
 * @param label label that the target must have; empty for no restriction
 * @param nearRack preferred rack; empty for no preference, or if no target there accepts such a task
 * @param oneRack whether the tasks are to be on one rack
 * @param leavesRack whether targets outside the preferred rack, or on several racks, are accepted
 * @param takesHeld whether resources that a gang holds in vain are accepted
 * @param urgent whether the unit is of the highest priority, so that running tasks may make room for it
 * @param claim whether it may also take the room of others of the highest priority
 * @param speedClass class of the speed below which it accepts no targets; the lowest value if it accepts all
 */
record PlacementKind(
        String service,
        String label,
        String nearRack,
        boolean oneRack,
        boolean leavesRack,
        boolean takesHeld,
        boolean urgent,
        boolean claim,
        long speedClass) {
    /** Ratio of speeds within which units are of the same kind. */
    private static final double SPEED_CLASS_RATIO = 1.05;

    /** Returns the number of tiers of targets that units of this kind accept. */
    int tierCount() {
        return leavesRack ? 2 : 1;
    }

    /** Returns the kind of {@code unit}, whose job has no failed runs and which has no limit of spread. */
    static PlacementKind of(PlacementUnit unit, UnitWaits unitWaits) {
        boolean oneRack = unitWaits.prefersOneRack(unit);
        String nearRack = oneRack ? "" : unitWaits.preferredRack(unit);
        return new PlacementKind(
                unit.job().service(),
                unit.step().spec.constraints().label(),
                nearRack,
                oneRack,
                oneRack ? unitWaits.isOverdue(unit) : !nearRack.isEmpty() && unitWaits.mayLeaveRack(unit),
                unitWaits.isLongInMostlyFreePool(unit),
                unit.priority() == 0,
                unitWaits.isClaim(unit),
                speedClass(unitWaits.speedLimit(unit)));
    }

    private static long speedClass(SpeedLimit limit) {
        if (limit.equals(SpeedLimit.NONE)) {
            return Long.MIN_VALUE;
        }
        long speedClass = Math.round(Math.log(limit.speed()) / Math.log(SPEED_CLASS_RATIO));
        return 2 * speedClass + (limit.probable() ? 1 : 0);
    }
}
