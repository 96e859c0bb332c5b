package org.acaciaport.scheduler;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.Leader;
import org.acaciaport.program.PeriodicTasks;
import org.acaciaport.record.LogRecord;
import org.jboss.logging.Logger;

/**
 * Leader election among the schedulers of a data centre, by records on the platform's log.
 *
 * <p>The first record on the log that claims the next epoch wins it. The winner renews its lease with further records;
 * other schedulers claim the next epoch once they have seen no renewal for longer than the lease. Two schedulers may
 * both believe that they lead for a while. This is safe because the epoch is a fencing token: targets refuse calls, and
 * replay voids intents, that carry an older epoch.
 *
 * <p>Thread-safe.
 */
final class LeaderElection implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(LeaderElection.class);

    /**
     * Time without a renewal after which another scheduler takes over, as a percentage of the lease. It is longer than
     * the lease because clocks may run at different rates.
     */
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

    /** Starts to renew or claim the leadership periodically, with a random initial delay to spread the schedulers. */
    void start() {
        long period = settings.leases().leaderMillis() / RENEWALS_PER_LEASE;
        long first = ThreadLocalRandom.current().nextLong(period / 2 + 1);
        Runnable task = PeriodicTasks.logged("leadership", this::renewOrCampaign);
        timer.scheduleAtFixedRate(task, first, period, TimeUnit.MILLISECONDS);
    }

    /** Records a leader record of this data centre on the log, by which {@code leader} was elected or renewed. */
    void recordRenewal(Leader leader) {
        if (leader.offset() != lastRenewalOffset) {
            lastRenewalOffset = leader.offset();
            lastRenewalMillis = clock.millis();
        }
    }

    /** Returns whether this process leads, according to the log as far as it was replayed. */
    boolean isLeader() {
        Leader leader = currentLeader();
        return leader != null && leader.holder().equals(holder) && !leader.resigned();
    }

    /** Returns the last leader on the log, which may have resigned, or null if there never was one. */
    Leader currentLeader() {
        return replica.directory().leader(settings.vm().dataCentre());
    }

    /** Stops taking part and resigns if this process leads, so that another scheduler takes over without delay. */
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
                    leader == null ? "no leader yet" : leader.resigned() ? "resigned" : "lease expired");
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
