package org.acaciaport.scheduler;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.Leader;
import org.acaciaport.record.LogRecord;
import org.jboss.logging.Logger;

/**
 * Takes part in choosing the scheduler that leads the data centre.
 *
 * <p>The first record of the next epoch wins by log order. The holder renews it; others take over once they have not
 * seen a renewal for longer than the lease. Nothing unsafe follows from two schedulers that both believe to lead:
 * targets refuse the older epoch, and so does the replay of intents. Safe for use by several threads.
 */
final class LeaderElection implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LeaderElection.class);

    /** Others wait this much longer than the lease, in percent, so that clocks may run at different rates. */
    private static final int TAKEOVER_DELAY_PERCENT = 125;

    private static final int RENEWALS_PER_LEASE = 3;

    private final LogReplica replica;
    private final Clock clock;
    private final SchedulerSettings settings;
    private final String holder;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("leadership").daemon().factory());
    private volatile long lastRenewalMillis;
    private volatile long lastRenewalOffset = -1;
    private volatile boolean resigning;
    private volatile boolean appendPending;

    LeaderElection(LogReplica replica, Clock clock, SchedulerSettings settings, String holder) {
        this.replica = replica;
        this.clock = clock;
        this.settings = settings;
        this.holder = holder;
        lastRenewalMillis = clock.millis();
    }

    void start() {
        long period = settings.leases().leaderMillis() / RENEWALS_PER_LEASE;
        long first = ThreadLocalRandom.current().nextLong(period / 2 + 1);
        timer.scheduleAtFixedRate(this::renewOrCampaign, first, period, TimeUnit.MILLISECONDS);
    }

    /** Notes that the log shows a renewal or a new leader. */
    void recordRenewal(Leader leader) {
        if (leader.offset() != lastRenewalOffset) {
            lastRenewalOffset = leader.offset();
            lastRenewalMillis = clock.millis();
        }
    }

    /** Returns whether the log says that this process leads. */
    boolean isLeader() {
        Leader leader = currentLeader();
        return leader != null && leader.holder().equals(holder) && !leader.resigned();
    }

    /** Returns the leader that the log names, or null. */
    Leader currentLeader() {
        return replica.directory().leader(settings.vm().dataCentre());
    }

    /** Gives the leadership up for good, so that another scheduler can take over at once. */
    void resign() {
        resigning = true;
        if (isLeader()) {
            replica.append(new LogRecord.Resigned(
                    settings.vm().dataCentre(), currentLeader().epoch()));
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void renewOrCampaign() {
        if (resigning || appendPending || !replica.isAvailable()) {
            return;
        }
        Directory directory = replica.directory();
        Leader leader = directory.leader(settings.vm().dataCentre());
        if (isLeader()) {
            appendLeaderRecord(leader.epoch());
        } else if (leader == null || leader.resigned() || isLeaseExpired()) {
            LOG.infof(
                    "lead: standing for epoch=%d why=%s",
                    leader == null ? 1 : leader.epoch() + 1,
                    leader == null ? "no leader yet" : leader.resigned() ? "resigned" : "lease lapsed");
            appendLeaderRecord(leader == null ? 1 : leader.epoch() + 1);
        }
    }

    private boolean isLeaseExpired() {
        return clock.millis() - lastRenewalMillis > settings.leases().leaderMillis() * TAKEOVER_DELAY_PERCENT / 100;
    }

    private void appendLeaderRecord(long epoch) {
        appendPending = true;
        LogRecord.Led led = new LogRecord.Led(
                settings.vm().dataCentre(), epoch, holder, settings.listen().programs());
        replica.append(led).whenComplete((verdict, error) -> appendPending = false);
    }
}
