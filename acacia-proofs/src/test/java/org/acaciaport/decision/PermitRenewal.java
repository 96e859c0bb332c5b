package org.acaciaport.decision;

/**
 * Renews the leader's permit to start work at regular intervals.
 *
 * <p>A renewal is left out while the log is unavailable, the leader is paused or lacks the latest configuration, or
 * renewals are stopped. Times are virtual, in milliseconds. Not thread-safe.
 */
final class PermitRenewal {
    private static final long PERMIT_DURATION_MILLIS = 3_000;
    private static final long PERMIT_RENEWAL_INTERVAL_MILLIS = 500;

    private final VirtualTime time;
    private final SimulatedLeader leader;
    private final FakeLog log;
    private final FakePlatform platform;
    private boolean enabled = true;

    PermitRenewal(VirtualTime time, SimulatedLeader leader, FakeLog log, FakePlatform platform) {
        this.time = time;
        this.leader = leader;
        this.log = log;
        this.platform = platform;
    }

    /** Stops or continues the renewals. */
    void setEnabled(boolean value) {
        enabled = value;
    }

    /** Renews the permit now and schedules all later renewals. Must be called once. */
    void start() {
        long until = time.now() + PERMIT_DURATION_MILLIS;
        boolean isUpToDate =
                leader.state().active().revision() >= platform.active().revision();
        if (enabled && log.isAvailable() && isUpToDate && !leader.isPaused()) {
            leader.handle(new Event.LeavingListed(platform.leavingTargets()));
            leader.handle(new Event.PermitRenewed(until));
        }
        time.schedule(PERMIT_RENEWAL_INTERVAL_MILLIS, this::start);
    }
}
