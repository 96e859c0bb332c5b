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
final class Leadership implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Leadership.class);

    /** Others wait this much longer than the lease, in percent, so that clocks may run at different rates. */
    private static final int PATIENCE_PERCENT = 125;

    private static final int RENEWALS_PER_LEASE = 3;

    private final LogReplica replica;
    private final Clock clock;
    private final SchedulerSettings settings;
    private final String holder;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("leadership").daemon().factory());
    private volatile long seenAt;
    private volatile long seenOffset = -1;
    private volatile boolean resigning;
    private volatile boolean pending;

    Leadership(LogReplica replica, Clock clock, SchedulerSettings settings, String holder) {
        this.replica = replica;
        this.clock = clock;
        this.settings = settings;
        this.holder = holder;
        seenAt = clock.millis();
    }

    void start() {
        long period = settings.leases().leaderMillis() / RENEWALS_PER_LEASE;
        long first = ThreadLocalRandom.current().nextLong(period / 2 + 1);
        timer.scheduleAtFixedRate(this::step, first, period, TimeUnit.MILLISECONDS);
    }

    /** Notes that the log shows a renewal or a new leader. */
    void seen(Leader leader) {
        if (leader.offset() != seenOffset) {
            seenOffset = leader.offset();
            seenAt = clock.millis();
        }
    }

    /** Returns whether the log says that this process leads. */
    boolean leads() {
        Leader leader = current();
        return leader != null && leader.holder().equals(holder) && !leader.resigned();
    }

    /** Returns the leader that the log names, or null. */
    Leader current() {
        return replica.directory().leader(settings.vm().dataCentre());
    }

    /** Gives the leadership up for good, so that another scheduler can take over at once. */
    void resign() {
        resigning = true;
        if (leads()) {
            replica.append(
                    new LogRecord.Resigned(settings.vm().dataCentre(), current().epoch()));
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }

    private void step() {
        if (resigning || pending || !replica.available()) {
            return;
        }
        Directory directory = replica.directory();
        Leader leader = directory.leader(settings.vm().dataCentre());
        if (leads()) {
            append(leader.epoch());
        } else if (leader == null || leader.resigned() || lapsed()) {
            LOG.infof(
                    "lead: standing for epoch=%d why=%s",
                    leader == null ? 1 : leader.epoch() + 1,
                    leader == null ? "no leader yet" : leader.resigned() ? "resigned" : "lease lapsed");
            append(leader == null ? 1 : leader.epoch() + 1);
        }
    }

    private boolean lapsed() {
        return clock.millis() - seenAt > settings.leases().leaderMillis() * PATIENCE_PERCENT / 100;
    }

    private void append(long epoch) {
        pending = true;
        LogRecord.Led led = new LogRecord.Led(
                settings.vm().dataCentre(), epoch, holder, settings.listen().programs());
        replica.append(led).whenComplete((verdict, error) -> pending = false);
    }
}
