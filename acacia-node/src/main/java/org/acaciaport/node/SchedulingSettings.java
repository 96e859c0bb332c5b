package org.acaciaport.node;

import org.acaciaport.pool.PoolFeatures;

/**
 * Which parts of the scheduler are in use. Each may be switched while the program runs.
 *
 * <p>Immutable.
 *
 * @param learnedRunTimes whether durations and speeds are learned from runs
 * @param speedPlacement whether targets are chosen by their learned speeds; needs {@code learnedRunTimes}
 * @param admission whether requests that cannot be of use are refused at once
 * @param accountLimits whether the limits of client accounts are kept
 */
public record SchedulingSettings(
        boolean learnedRunTimes, boolean speedPlacement, boolean admission, boolean accountLimits) {
    /** No part is in use. */
    public static final SchedulingSettings OFF = new SchedulingSettings(false, false, false, false);

    /** Returns the parts of the pool that are in use. */
    PoolFeatures poolFeatures() {
        return new PoolFeatures(learnedRunTimes, speedPlacement, accountLimits);
    }
}
