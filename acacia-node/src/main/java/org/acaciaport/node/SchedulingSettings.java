package org.acaciaport.node;

/**
 * Which parts of the scheduler are in use. Each may be switched while the program runs.
 *
 * <p>Immutable.
 *
 * @param learnedRunTimes whether durations are learned from runs
 * @param speedPlacement whether the speeds of targets are taken into account
 * @param admission whether requests that cannot be of use are refused at once
 * @param accountLimits whether the limits of client accounts are kept
 */
public record SchedulingSettings(
        boolean learnedRunTimes, boolean speedPlacement, boolean admission, boolean accountLimits) {
    /** No part is in use. */
    public static final SchedulingSettings OFF = new SchedulingSettings(false, false, false, false);
}
