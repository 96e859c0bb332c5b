package org.acaciaport.pool;

/**
 * Which optional parts of a pool are in use.
 *
 * <p>Immutable.
 *
 * @param learnedRunTimes whether durations and speeds are learned from runs; if not, declared durations are taken as
 *     they are and all targets as equally fast
 * @param speedPlacement whether the choice of targets goes by their learned speeds
 * @param accountLimits whether the limits of client accounts are kept
 */
public record PoolFeatures(boolean learnedRunTimes, boolean speedPlacement, boolean accountLimits) {
    /** All parts are in use. */
    public static final PoolFeatures ALL = new PoolFeatures(true, true, true);

    /** No part is in use. */
    public static final PoolFeatures NONE = new PoolFeatures(false, false, false);
}
