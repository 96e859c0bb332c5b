package org.acaciaport.node;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciaport.failure.Failures;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.Batch;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Job;
import org.acaciaport.pool.JobProgress;
import org.acaciaport.pool.Pool;
import org.acaciaport.pool.TargetCommand;
import org.acaciaport.pool.TargetInfo;
import org.acaciaport.pool.TargetReport;
import org.jboss.logging.Logger;

/**
 * One term of this node as leader: schedules the pool from the time the log has been read completely until the term
 * ends.
 *
 * <p>Only the thread in {@link #run} uses the pool; other threads post events to it. A start command is sent only after
 * the record of that start is durable. An exception of an event, a pass or an append ends the term, as the pool may be
 * inconsistent with the log; a job that the pool rejects is left out instead, as it would end each later term.
 */
final class Term implements TargetSession.Events, Replica.Listener {
    private static final Logger LOG = Logger.getLogger(Term.class);

    /**
     * How long this node continues to act as leader after the log last confirmed its term, in milliseconds.
     *
     * <p>A later leader waits at least this long before it treats leases granted by this term as expired.
     */
    static final long MAX_UNCONFIRMED_MILLIS = 8_000;

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

    /** How long the state of an ended job can be queried, in milliseconds. */
    private static final long ENDED_JOB_RETENTION_MILLIS = 180_000;

    private static final long PURGE_INTERVAL_MILLIS = 5_000;

    private final LeaderRecord self;
    private final long epoch;
    private final LeaderLogWriter logWriter;
    private final Replica replica;
    private final ConfigurationView configuration;
    private final TopicConsumer registrationConsumer;
    private final Pool pool = new Pool();
    private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final TermLoad load;
    private final TargetSessions sessions;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final ProgressEncoder progressEncoder = new ProgressEncoder();

    /** Deletions of ended jobs for the next append. */
    private final List<KeyedRecord> tombstones = new ArrayList<>();

    private volatile boolean ended;
    private volatile boolean resigning;

    /** Batches whose records are durable, to be released once all earlier events have been handled. */
    private final List<Batch> durableBatches = new ArrayList<>();

    private boolean appendInFlight;
    private long lastHeartbeatNanos;
    private long lastPurgeNanos;

    Term(LeaderRecord self, long epoch, LeaderLogWriter logWriter, Dependencies dependencies) {
        this.self = self;
        this.epoch = epoch;
        this.logWriter = logWriter;
        this.replica = dependencies.replica();
        this.configuration = dependencies.configuration();
        TopicConsumer.PollSettings pollSettings = new TopicConsumer.PollSettings(0, REGISTRATION_POLL_INTERVAL_MILLIS);
        registrationConsumer = new TopicConsumer(
                dependencies.topics().targets(),
                dependencies.log(),
                pollSettings,
                new RegistrationTracker(dependencies.targetDecoder(), this));
        ClockReading now = Clocks.now();
        lastPurgeNanos = now.monotonicNanos();
        load = new TermLoad(epoch, dependencies.metrics(), now);
        long earlierLeasesEndNanos = TargetLease.earlierLeasesEndNanos(now, MAX_UNCONFIRMED_MILLIS);
        sessions = new TargetSessions(epoch, earlierLeasesEndNanos, dependencies.calls(), this, executor, load);
    }

    /**
     * Work for the thread of the term.
     *
     * @param action the work
     * @param postedNanos when it was posted, on the monotonic clock, in nanoseconds
     */
    private record Event(Runnable action, long postedNanos) {}

    /**
     * The collaborators of a term.
     *
     * @param replica local copy of the scheduler's records
     * @param configuration the operators' configuration
     * @param calls sends commands to targets
     * @param topics topics in the shared log
     * @param log the shared log
     * @param targetDecoder decodes target registrations
     * @param metrics receives the durations that {@link TermLoad} measures
     */
    record Dependencies(
            Replica replica,
            ConfigurationView configuration,
            TargetCalls calls,
            Topics topics,
            FailoverLog log,
            TargetRecordDecoder targetDecoder,
            MetricRegistry metrics) {}

    private void post(Runnable action) {
        events.add(new Event(action, System.nanoTime()));
    }

    /** Schedules until the term ends or the thread is interrupted. */
    void run() {
        try {
            restore();
            configuration.setListener(() -> post(() -> pool.configure(configuration.poolSettings())));
            pool.configure(configuration.poolSettings());
            registrationConsumer.start();
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

    /** Rebuilds the pool from the replica and subscribes to later records. */
    private void restore() {
        ClockReading now = Clocks.now();
        List<CancelRecord> cancels = new ArrayList<>();
        for (JobEntry entry : replica.attach(this)) {
            if (entry.job() == null) {
                continue;
            }
            skipIfRejected(entry.job(), () -> restore(entry, now));
            if (entry.cancel() != null) {
                cancels.add(entry.cancel());
            }
        }
        cancels.forEach(cancel -> pool.cancel(cancel.id(), now));
        LOG.infof(
                "lead: epoch=%s outcome=leading occupied=%s",
                epoch, pool.occupiedTargets().size());
    }

    private void restore(JobEntry entry, ClockReading now) {
        JobProgress progress = entry.progress();
        if (progress == null) {
            pool.submit(entry.job());
            return;
        }
        try {
            pool.restore(entry.job(), progress, now);
            progressEncoder.restore(progress);
        } catch (RuntimeException e) {
            // With a part of its progress, the job could run finished tasks again.
            pool.removeJob(entry.job().id());
            throw e;
        }
    }

    /** Adds a job to the pool by {@code add}; leaves out a job that the pool rejects, as each later term would too. */
    private void skipIfRejected(Job job, Runnable add) {
        try {
            add.run();
        } catch (RuntimeException e) {
            LOG.errorf(
                    "accept: request=%s queue=%s outcome=skipped reason=%s",
                    job.id(), job.queue(), Failures.reasonOf(e));
        }
    }

    private void runIteration() throws InterruptedException {
        // Cancellations read until then are among the events handled now.
        ClockReading replicaAsOf = replica.asOf();
        Event event = events.poll(LOOP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        long startNanos = System.nanoTime();
        if (event != null) {
            handleEvents(event);
        }
        if (ended) {
            return;
        }
        ClockReading now = Clocks.now();
        boolean current = replicaAsOf != null && Clocks.ageMillis(replicaAsOf) < MAX_REPLICA_AGE_MILLIS;
        durableBatches.forEach(batch -> releaseBatch(batch, current));
        durableBatches.clear();
        if (!resigning && current) {
            pool.schedule(now);
            load.recordPass(now.monotonicNanos());
        }
        if (!resigning && canOnlyWrite(replicaAsOf)) {
            LOG.infof("lead: epoch=%s outcome=resigning reason=the log cannot be read", epoch);
            startResignation();
        }
        pool.takeStops().forEach(sessions::stop);
        purge(now);
        if (!appendInFlight) {
            startAppend(now);
        }
        Set<String> occupied = new HashSet<>(pool.occupiedTargets());
        sessions.poll(occupied, now).forEach(id -> pool.handleLeaseExpiry(id, now));
        load.recordIteration(startNanos);
        load.reportIfDue(pool, Clocks.now());
    }

    /**
     * Handles {@code first} and the events that are waiting behind it. Events posted meanwhile are left to the next
     * iteration, so that they cannot hold up the scheduling pass.
     */
    private void handleEvents(Event first) {
        List<Event> waiting = new ArrayList<>(List.of(first));
        events.drainTo(waiting);
        for (Event event : waiting) {
            load.recordEvent(event.postedNanos());
            event.action().run();
        }
    }

    /** Returns whether the log has taken records of this term all the while but could not be read. */
    private boolean canOnlyWrite(ClockReading replicaAsOf) {
        return replicaAsOf != null
                && Clocks.ageMillis(replicaAsOf) > MAX_UNREAD_MILLIS
                && Clocks.ageMillis(logWriter.lastConfirmed()) < MAX_REPLICA_AGE_MILLIS;
    }

    /** Appends the pending records in the background if there are any or a heartbeat is due. */
    private void startAppend(ClockReading now) {
        Batch batch = pool.takeBatch();
        boolean heartbeatDue = now.millisSince(lastHeartbeatNanos) >= HEARTBEAT_INTERVAL_MILLIS;
        if (batch.records().isEmpty() && tombstones.isEmpty() && !heartbeatDue) {
            durableBatches.add(batch);
            return;
        }
        List<KeyedRecord> records = new ArrayList<>(tombstones);
        tombstones.clear();
        batch.records().forEach(progress -> records.addAll(progressEncoder.encode(progress)));
        if (heartbeatDue || resigning) {
            lastHeartbeatNanos = now.monotonicNanos();
            records.add(JobRecords.encode(new LeaderRecord(self.node(), self.startedMillis(), resigning)));
        }
        appendInFlight = true;
        boolean resignation = resigning;
        Runnable append = () -> {
            boolean appended = logWriter.append(records);
            post(() -> handleAppendResult(appended, resignation, batch, now.monotonicNanos()));
        };
        // Whether the records were appended is not known; the next term reads the log.
        executor.execute(() -> BackgroundTasks.run("append", append, reason -> end("append failed: " + reason)));
    }

    /** Releases the commands of a durable batch; ends the term if the log rejected the append. */
    private void handleAppendResult(boolean appended, boolean resignation, Batch batch, long takenNanos) {
        appendInFlight = false;
        load.recordAppend(takenNanos);
        if (!appended) {
            end("deposed by a later term in the log");
            return;
        }
        if (resignation) {
            end("resigned");
            return;
        }
        durableBatches.add(batch);
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

    /** Removes ended jobs whose retention period has passed from the pool and the log. */
    private void purge(ClockReading now) {
        if (now.millisSince(lastPurgeNanos) < PURGE_INTERVAL_MILLIS) {
            return;
        }
        lastPurgeNanos = now.monotonicNanos();
        for (String id : pool.jobsEndedBefore(now.wallClockMillis() - ENDED_JOB_RETENTION_MILLIS)) {
            pool.removeJob(id);
            tombstones.addAll(progressEncoder.remove(id));
            tombstones.add(KeyedRecord.tombstone(JobRecords.CANCEL_PREFIX + id));
            tombstones.add(KeyedRecord.tombstone(JobRecords.JOB_PREFIX + id));
        }
    }

    /** Adds or updates a registered target. */
    void register(TargetInfo info) {
        post(() -> {
            TargetInfo previous = sessions.register(info);
            if (previous == null
                    || previous.draining() != info.draining()
                    || previous.incarnation() != info.incarnation()) {
                LOG.infof(
                        "target: target=%s address=%s data_centre=%s incarnation=%s draining=%s",
                        info.id(), info.address(), info.dataCentre(), info.incarnation(), info.draining());
            }
            pool.register(info);
        });
    }

    /** Handles the removal of a target's registration. */
    void unregister(String id) {
        post(() -> {
            LOG.infof("target: target=%s outcome=unregistered", id);
            sessions.unregister(id);
            pool.unregister(id);
        });
    }

    @Override
    public void submitted(Job job) {
        post(() -> skipIfRejected(job, () -> pool.submit(job)));
    }

    @Override
    public void cancelled(CancelRecord cancel) {
        post(() -> pool.cancel(cancel.id(), Clocks.now()));
    }

    @Override
    public void reported(TargetReport report) {
        post(() -> pool.handleReport(report, Clocks.now()));
    }

    @Override
    public void started(TargetCommand.Start start) {
        post(() -> pool.handleStarted(start, Clocks.now()));
    }

    @Override
    public void notStarted(TargetCommand.Start start, String reason, long exclusionMillis) {
        post(() -> pool.handleStartFailure(start, reason, exclusionMillis, Clocks.now()));
    }

    @Override
    public void unresponsive(String target, long exclusionMillis) {
        post(() -> pool.exclude(target, exclusionMillis, Clocks.now()));
    }

    @Override
    public void leaseExpired(String target) {
        post(() -> pool.handleLeaseExpiry(target, Clocks.now()));
    }

    @Override
    public void deposed(String target) {
        end("target " + target + " has seen a later term");
    }

    @Override
    public boolean isLeading() {
        return !ended && Clocks.ageMillis(logWriter.lastConfirmed()) < MAX_UNCONFIRMED_MILLIS;
    }

    /** Ends the term immediately. */
    void end(String reason) {
        if (!ended) {
            ended = true;
            LOG.infof("lead: epoch=%s outcome=ended reason=%s", epoch, reason);
        }
    }

    /**
     * Resigns for a planned shutdown, so that another node can take over immediately.
     *
     * @param millis how long to wait for the resignation to become durable, in milliseconds
     */
    void resign(long millis) {
        long deadline = Clocks.deadlineAfter(millis);
        post(this::startResignation);
        while (!ended && Clocks.millisUntil(deadline) > 0 && Clocks.sleep(LOOP_INTERVAL_MILLIS)) {
            // The term ends once the resignation is durable.
        }
    }

    private void startResignation() {
        resigning = true;
        // Makes a heartbeat due, so that the resignation is appended without delay.
        lastHeartbeatNanos -= HEARTBEAT_INTERVAL_MILLIS * Clocks.NANOS_PER_MILLI;
    }

    private void close() {
        registrationConsumer.stop();
        replica.detach();
        configuration.setListener(() -> {});
        sessions.close();
        executor.shutdownNow();
    }
}
