package org.acaciaport.decision;

/** What a randomised run does besides ordinary requests, with how often it does it. */
enum Fault {
    SUBMIT(400),
    BURST(6),
    CANCEL(20),
    CANCEL_WAVE(2),
    TARGET_FAILS_ALL(3),
    TARGET_HEALS(6),
    TARGET_IGNORES_TREATMENTS(2),
    TARGET_CRASHES(4),
    RACK_LOST(1),
    TARGET_LEAVES(3),
    TARGET_STAYS(5),
    DATA_CENTRE_OUT(2),
    DATA_CENTRE_IN(6),
    LOG_DOWN(3),
    LOG_UP(8),
    PERMITS_STOP(3),
    PERMITS_GO_ON(8),
    STALE_CONFIGURATION(3),
    CONFIGURATION_CHANGED(2),
    SCHEDULER_PAUSED(3),
    SCHEDULER_REPLACED(2);

    private final int weight;

    Fault(int weight) {
        this.weight = weight;
    }

    int weight() {
        return weight;
    }
}
