package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.acaciaport.failure.Failures;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Batch;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.TargetCommand;
import org.jboss.logging.Logger;

/**
 * One term of this node as leader: schedules the pool from the time the log has been read completely until the term
 * ends.
 *
 * <p>Only the thread in {@link #run} uses the pool; other threads post events to it. A start command is sent only after
 * the record of that start is durable. An exception of an event, a pass or an append ends the term, as the pool may be
 * inconsistent with the log; a job that the pool rejects is left out instead, as it would end each later term.
 */
final class Term {
    private static final Logger LOG = Logger.getLogger(Term.class);

    /**
     * How long this node continues to act as leader after the log last confirmed its term, in milliseconds.
     *
     * <p>A later leader waits at least this long, and a lease longer, after the last record of this term before it
     * treats leases granted by this term as expired. With the time to notice a failed leader, that is less than the
     * 14 s in which work must go on.
     */
    static final long MAX_UNCONFIRMED_MILLIS = 5_000;

    /** Interval between heartbeat records in the log, in milliseconds. */
    static final long HEARTBEAT_INTERVAL_MILLIS = 250;

    /** Longest wait for an event before the next scheduling pass, in milliseconds. */
    private static final long LOOP_INTERVAL_MILLIS = 20;

    /** Interval between reads of the target registrations, in milliseconds. */
    private static final long REGISTRATION_POLL_INTERVAL_MILLIS = 200;

    /**
     * Age of the replica from which nothing is started, in milliseconds. A cancellation takes effect within this time
     * and the time for which a session sends a start again.
     */
    private static final long MAX_REPLICA_AGE_MILLIS = 2_000;

    /**
     * Age of the replica from which a term resigns whose records the log still takes, in milliseconds: another node may
     * be able to read.
     */
    private static final long MAX_UNREAD_MILLIS = 6_000;

    private final long epoch;
    private final LeaderLogWriter logWriter;
    private final Replica replica;
    private final TopicConsumer registrationConsumer;
    private final Pool pool = new Pool();
    private final EventQueue events = new EventQueue();
    private final TermLoad load;
    private final TargetSessions sessions;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final TermWriter writer;
    private final PoolConfigurator poolConfigurator;
    private final JobIntake jobIntake;
    private final EndedJobs endedJobs;
    private final PoolEvents poolEvents;
    private final LateJobs lateJobs;
    private final Supplier<SchedulingSettings> scheduling;
    private final EstimatesPersistence estimatesPersistence;
    private final EstimateMetrics estimateMetrics;
    private final FailoverLog log;
    private final EarlierLeases earlierLeases;

    private volatile boolean ended;

    Term(
            LeaderRecord self,
            long epoch,
            LeaderLogWriter logWriter,
            EarlierLeases earlierLeases,
            Dependencies dependencies) {
        this.epoch = epoch;
        this.logWriter = logWriter;
        this.replica = dependencies.replica();
        ClockReading now = Clocks.now();
        load = new TermLoad(epoch, dependencies.metrics(), now);
        scheduling = dependencies.scheduling();
        estimatesPersistence =
                new EstimatesPersistence(pool::estimatesSnapshot, pool::restoreEstimates, dependencies.limits(), now);
        estimateMetrics = new EstimateMetrics(dependencies.metrics(), now);
        OutlookPublisher outlookPublisher =
                new OutlookPublisher(pool::outlook, pool::declaredDurationPercents, scheduling, now);
        writer = new TermWriter(
                self,
                logWriter,
                new TermWriter.Threads(executor, events::post),
                this::end,
                replica::setAside,
                load,
                at -> {
                    List<KeyedRecord> records = new ArrayList<>(outlookPublisher.records(at));
                    records.addAll(estimatesPersistence.records(at));
                    return records;
                });
        lateJobs = new LateJobs(replica, dependencies.metrics());
        poolConfigurator = new PoolConfigurator(pool, dependencies.configuration(), writer, now);
        jobIntake = new JobIntake(pool, writer);
        endedJobs = new EndedJobs(pool, writer, now);
        log = dependencies.log();
        this.earlierLeases = earlierLeases;
        poolEvents = new PoolEvents(pool, events, jobIntake, executor, this::end, this::isLeading);
        sessions = new TargetSessions(epoch, earlierLeases, writer, dependencies.calls(), poolEvents, executor, load);
        registrationConsumer = new TopicConsumer(
                dependencies.topics().targets(),
                dependencies.log(),
                new TopicConsumer.PollSettings(0, REGISTRATION_POLL_INTERVAL_MILLIS),
                new RegistrationTracker(
                        dependencies.targetDecoder(), new TargetRegistrations(sessions, pool, events::post)));
    }

    /**
     * The collaborators of a term.
     *
     * @param replica local copy of the scheduler's records
     * @param configuration the operators' configuration
     * @param calls sends commands to targets
     * @param topics topics in the shared log
     * @param limits what the shared log takes in one append
     * @param log the shared log
     * @param targetDecoder decodes target registrations
     * @param metrics receives the durations that {@link TermLoad} measures, and counters
     * @param scheduling returns which parts of the scheduler are in use now
     */
    record Dependencies(
            Replica replica,
            ConfigurationView configuration,
            TargetCalls calls,
            Topics topics,
            AppendLimits limits,
            FailoverLog log,
            TargetRecordDecoder targetDecoder,
            MetricRegistry metrics,
            Supplier<SchedulingSettings> scheduling) {}

    /** Schedules until the term ends or the thread is interrupted. */
    void run() {
        try {
            restore();
            poolConfigurator.start(events::post);
            registrationConsumer.start();
            probeGrantor();
            while (!ended) {
                runIteration();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {
            end("failed: " + Failures.reasonOf(e));
            throw e;
        } finally {
            close();
        }
    }

    /** Finds out in the background whether the process that has granted the earlier leases is over. */
    private void probeGrantor() {
        earlierLeases.grantor().ifPresent(former -> {
            FormerLeaderProbe probe = new FormerLeaderProbe(
                    former, replica, log::ask, endNanos -> events.post(() -> sessions.limitEarlierLeases(endNanos)));
            executor.execute(() -> probe.run(earlierLeases.endNanos()));
        });
    }

    /** Rebuilds the pool from the replica and subscribes to later records. */
    private void restore() {
        ClockReading now = Clocks.now();
        pool.use(scheduling.get().poolFeatures(), now);
        estimatesPersistence.restore(replica.estimates(), now);
        jobIntake.restore(replica.attach(poolEvents), now);
        LOG.infof(
                "lead: epoch=%s outcome=leading occupied=%s",
                epoch, pool.occupiedTargets().size());
    }

    private void runIteration() throws InterruptedException {
        // Cancellations read until then are among the events handled now.
        ClockReading replicaAsOf = replica.asOf();
        EventQueue.Event event = events.poll(LOOP_INTERVAL_MILLIS);
        long startNanos = System.nanoTime();
        if (event != null) {
            events.handle(event, load);
        }
        if (ended) {
            return;
        }
        ClockReading now = Clocks.now();
        pool.use(scheduling.get().poolFeatures(), now);
        poolConfigurator.review(now);
        boolean current = replicaAsOf != null && Clocks.ageMillis(replicaAsOf) < MAX_REPLICA_AGE_MILLIS;
        writer.takeDurable().forEach(batch -> releaseBatch(batch, current));
        if (!writer.isResigning() && current && poolConfigurator.isConfirmed()) {
            pool.schedule(now);
            load.recordPass(now.monotonicNanos());
        }
        if (!writer.isResigning() && canOnlyWrite(replicaAsOf)) {
            LOG.infof("lead: epoch=%s outcome=resigning reason=the log cannot be read", epoch);
            writer.resign();
        }
        pool.takeStops().forEach(sessions::stop);
        endedJobs.removeOld(now);
        if (writer.isIdle()) {
            poolConfigurator.writeMovedJobs();
            Batch batch = pool.takeBatch();
            lateJobs.record(batch.records());
            writer.append(batch, now);
            batch.starts().forEach(sessions::prepare);
        }
        Set<String> occupied = new HashSet<>(pool.occupiedTargets());
        sessions.poll(occupied, now).forEach(id -> pool.handleLeaseExpiry(id, TargetSession.EXCLUSION_MILLIS, now));
        load.recordIteration(startNanos);
        load.reportIfDue(pool, Clocks.now());
        estimateMetrics.reportIfDue(pool, Clocks.now());
    }

    /** Returns whether the log has taken records of this term all the while but could not be read. */
    private boolean canOnlyWrite(ClockReading replicaAsOf) {
        return replicaAsOf != null
                && Clocks.ageMillis(replicaAsOf) > MAX_UNREAD_MILLIS
                && Clocks.ageMillis(logWriter.lastConfirmed()) < MAX_REPLICA_AGE_MILLIS;
    }

    /**
     * Sends the start commands and acknowledgements that depended on the records of {@code batch}. Starts whose run is
     * not wanted any more are not sent, and none if the replica is not current.
     */
    private void releaseBatch(Batch batch, boolean current) {
        for (TargetCommand.Start start : batch.starts()) {
            if (!current || !pool.isWanted(start)) {
                pool.handleStartFailure(start, current ? "not wanted" : "log not current", 0, Clocks.now());
            } else if (!sessions.start(start)) {
                pool.handleStartFailure(start, "no address", 0, Clocks.now());
            }
        }
        batch.acknowledgements().forEach(sessions::acknowledge);
    }

    /** Returns whether the term was confirmed recently enough to send commands and renew leases. */
    boolean isLeading() {
        return !ended && Clocks.ageMillis(logWriter.lastConfirmed()) < MAX_UNCONFIRMED_MILLIS;
    }

    /** Returns the receiver of the events of sessions. */
    SessionEvents sessionEvents() {
        return poolEvents;
    }

    /** Ends the term immediately. The reason of the first call is logged before the thread of the term can end. */
    synchronized void end(String reason) {
        if (!ended) {
            LOG.infof("lead: epoch=%s outcome=ended reason=%s", epoch, reason);
            ended = true;
        }
    }

    /**
     * Resigns for a planned shutdown, so that another node can take over immediately.
     *
     * @param millis how long to wait for the resignation to become durable, in milliseconds
     */
    void resign(long millis) {
        long deadline = Clocks.deadlineAfter(millis);
        events.post(writer::resign);
        while (!ended && Clocks.millisUntil(deadline) > 0 && Clocks.sleep(LOOP_INTERVAL_MILLIS)) {
            // The term ends once the resignation is durable.
        }
    }

    private void close() {
        registrationConsumer.stop();
        replica.detach();
        estimateMetrics.close();
        poolConfigurator.stop();
        sessions.close();
        executor.shutdownNow();
    }
}
