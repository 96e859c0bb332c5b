package org.acaciaport.decision;

/**
 * The faults and other inputs that a {@link CellSimulation} injects at random.
 *
 * <p>The weight of a constant is its relative frequency. Constants are drawn in the order of their declaration, so the
 * order is part of what a seed stands for.
 */
enum Fault {
    /** Submits a request; this is load rather than a fault. */
    SUBMIT(400),
    /** Submits 100 requests at once. */
    BURST(6),
    /** Cancels an unfinished request, if there is one. */
    CANCEL(20),
    /** Cancels all unfinished requests. */
    CANCEL_WAVE(2),
    /** Makes all members that start on a target fail. */
    TARGET_FAILS_ALL(3),
    /** Ends the failures of all targets and makes them obey treatments again. */
    TARGET_HEALS(6),
    /** Makes a target ignore commands to checkpoint or throttle a member; it still obeys commands to stop. */
    TARGET_IGNORES_TREATMENTS(2),
    /** Crashes a target, which restarts later. */
    TARGET_CRASHES(4),
    /** Crashes all targets of a rack. */
    RACK_LOST(1),
    /** Lists a target as going out of service. */
    TARGET_LEAVES(3),
    /** Lists no target as going out of service. */
    TARGET_STAYS(5),
    /** Takes the data centre out of service. */
    DATA_CENTRE_OUT(2),
    /** Returns the data centre to service. */
    DATA_CENTRE_IN(6),
    /** Makes the log unavailable. */
    LOG_DOWN(3),
    /** Makes the log available. */
    LOG_UP(8),
    /** Stops the renewal of the permit to start work. */
    PERMITS_STOP(3),
    /** Continues the renewal of the permit to start work. */
    PERMITS_GO_ON(8),
    /** Delivers the original configuration under a revision that is not newer than the current one. */
    STALE_CONFIGURATION(3),
    /** Publishes a configuration without one of the profiles and possibly without some of the targets. */
    CONFIGURATION_CHANGED(2),
    /** Pauses the scheduler for at least half a second and less than 8 seconds. */
    SCHEDULER_PAUSED(3),
    /** Replaces the leader by one of a later epoch. */
    SCHEDULER_REPLACED(2);

    private final int weight;

    Fault(int weight) {
        this.weight = weight;
    }

    int weight() {
        return weight;
    }
}
