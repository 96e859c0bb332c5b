package org.acaciaport.pool;

/**
 * The properties that decide whether a single task fits; a demand that did not fit is not tried again in the pass.
 *
 * <p>Immutable.
 *
 * @param service name of the service
 * @param demand resources of the task
 * @param label label that the target must have; empty for no restriction
 * @param nearRack preferred rack; empty for no preference
 * @param leavesRack whether targets outside {@code nearRack} are accepted
 * @param takesHeld whether resources that a gang holds in vain are accepted
 * @param urgent whether the task is of the highest priority, so that running tasks may make room for it
 * @param claim whether it may also take the room of others of the highest priority
 * @param speedClass class of the speed that its targets need; the lowest value if any speed will do
 */
record DemandKey(
        String service,
        Resources demand,
        String label,
        String nearRack,
        boolean leavesRack,
        boolean takesHeld,
        boolean urgent,
        boolean claim,
        long speedClass) {
    /** Ratio of required speeds within which demands count as equal. */
    private static final double SPEED_CLASS_RATIO = 1.05;

    /**
     * Returns the key of {@code unit}.
     *
     * @param leavesRack whether targets outside the preferred rack are accepted
     * @param takesHeld whether resources that a gang holds in vain are accepted
     * @param claim whether the unit is a claim
     * @param requiredSpeed speed that its targets need; 0 if any speed will do
     */
    static DemandKey of(
            PlacementUnit unit, boolean leavesRack, boolean takesHeld, boolean claim, double requiredSpeed) {
        Step.Constraints constraints = unit.step().spec.constraints();
        return new DemandKey(
                unit.job().service(),
                unit.demand(),
                constraints.label(),
                constraints.nearRack(),
                leavesRack,
                takesHeld,
                unit.priority() == 0,
                claim,
                speedClass(requiredSpeed));
    }

    private static long speedClass(double requiredSpeed) {
        return requiredSpeed == 0 ? Long.MIN_VALUE : Math.round(Math.log(requiredSpeed) / Math.log(SPEED_CLASS_RATIO));
    }
}
