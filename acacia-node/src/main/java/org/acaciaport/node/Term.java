package org.acaciaport.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
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
 * One term of leading the pool, from the moment all earlier records are known until it is over.
 *
 * <p>The pool is used by the term's own thread only; everything else reaches it as an event. A start leaves only after
 * the record that names it is durable.
 */
final class Term implements TargetSession.Events, Replica.Listener {
    private static final Logger LOG = Logger.getLogger(Term.class);

    /** How long leases are renewed while the log cannot confirm the lead, in milliseconds. */
    static final long UNCONFIRMED_MILLIS = 8_000;

    /** Longest pause between two records of the leader, in milliseconds. */
    static final long BEAT_MILLIS = 250;

    private static final long STEP_MILLIS = 20;

    /** Pause between two reads of the registrations, in milliseconds. */
    private static final long REGISTRY_PAUSE_MILLIS = 200;

    /** How long jobs that have ended can be asked for, in milliseconds. */
    private static final long KEPT_MILLIS = 180_000;

    private static final long PURGE_PAUSE_MILLIS = 5_000;
    private static final int FENCE_BITS = 16;

    private final LeaderRecord self;
    private final long epoch;
    private final LeaderLogWriter termLog;
    private final Replica replica;
    private final ConfigurationView operators;
    private final TargetCalls calls;
    private final TopicConsumer registry;
    private final Pool pool = new Pool();
    private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final Map<String, TargetSession> sessions = new HashMap<>();
    private final Map<String, TargetInfo> registered = new HashMap<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final long begunInheritedNanos;
    private final OrphanDetector orphans;
    private final List<KeyedRecord> extra = new ArrayList<>();
    private volatile boolean over;
    private volatile boolean resigning;
    private boolean appending;
    private long beatNanos;
    private long purgeNanos;

    Term(LeaderRecord self, long epoch, LeaderLogWriter termLog, Dependencies dependencies) {
        this.self = self;
        this.epoch = epoch;
        this.termLog = termLog;
        this.replica = dependencies.replica();
        this.operators = dependencies.operators();
        this.calls = dependencies.calls();
        TopicConsumer.PollSettings pace = new TopicConsumer.PollSettings(0, REGISTRY_PAUSE_MILLIS);
        registry = new TopicConsumer(
                dependencies.topics().targets(),
                dependencies.log(),
                pace,
                new RegistrationTracker(dependencies.codec(), this));
        ClockReading now = Clocks.now();
        begunInheritedNanos = TargetLease.inherited(now, UNCONFIRMED_MILLIS);
        orphans = new OrphanDetector(begunInheritedNanos);
        purgeNanos = now.monotonicNanos();
    }

    /**
     * What a term works with.
     *
     * @param replica the product's records
     * @param operators what operators have published
     * @param calls sends orders
     * @param topics names of topics
     * @param log the shared log
     * @param codec decodes registrations
     */
    record Dependencies(
            Replica replica,
            ConfigurationView operators,
            TargetCalls calls,
            Topics topics,
            FailoverLog log,
            TargetCodec codec) {}

    /** Leads until the term is over. */
    void run() {
        restore();
        operators.listen(() -> events.add(() -> pool.configure(operators.poolSettings())));
        pool.configure(operators.poolSettings());
        registry.start();
        try {
            while (!over) {
                step();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            end();
        }
    }

    private void restore() {
        ClockReading now = Clocks.now();
        List<CancelRecord> cancels = new ArrayList<>();
        for (JobEntry entry : replica.attach(this)) {
            if (entry.job() == null) {
                continue;
            }
            JobProgress progress = entry.progress();
            if (progress == null) {
                pool.submit(entry.job());
            } else {
                pool.restore(entry.job(), progress, now);
            }
            if (entry.cancel() != null) {
                cancels.add(entry.cancel());
            }
        }
        cancels.forEach(cancel -> pool.cancel(cancel.id(), now));
        LOG.infof(
                "lead: epoch=%s outcome=leading occupied=%s",
                epoch, pool.occupiedTargets().size());
    }

    private void step() throws InterruptedException {
        Runnable event = events.poll(STEP_MILLIS, TimeUnit.MILLISECONDS);
        while (event != null) {
            event.run();
            event = events.poll();
        }
        if (over) {
            return;
        }
        ClockReading now = Clocks.now();
        if (!resigning) {
            pool.schedule(now);
        }
        for (TargetCommand.Stop stop : pool.takeStops()) {
            TargetSession session = session(stop.target());
            if (session != null) {
                executor.execute(() -> session.stop(stop));
            }
        }
        purge(now);
        if (!appending) {
            append(now);
        }
        Set<String> occupied = new HashSet<>(pool.occupiedTargets());
        occupied.forEach(this::session);
        orphans.over(occupied, sessions.keySet(), now).forEach(id -> pool.handleLeaseExpiry(id, now));
        sessions.forEach((id, session) -> session.need(occupied.contains(id)));
    }

    private void append(ClockReading now) {
        Batch batch = pool.takeBatch();
        boolean beat = now.millisSince(beatNanos) >= BEAT_MILLIS;
        if (batch.records().isEmpty() && extra.isEmpty() && !beat) {
            release(batch);
            return;
        }
        List<KeyedRecord> records = new ArrayList<>(extra);
        extra.clear();
        batch.records().forEach(progress -> records.add(JobRecords.progress(progress)));
        if (beat || resigning) {
            beatNanos = now.monotonicNanos();
            records.add(JobRecords.leader(new LeaderRecord(self.node(), self.startedMillis(), resigning)));
        }
        appending = true;
        executor.execute(() -> {
            boolean done = termLog.append(records);
            events.add(() -> appended(done, batch));
        });
    }

    private void appended(boolean done, Batch batch) {
        appending = false;
        if (!done) {
            stop("deposed by a later term in the log");
            return;
        }
        release(batch);
    }

    private void release(Batch batch) {
        for (TargetCommand.Start start : batch.starts()) {
            TargetSession session = session(start.target());
            if (session == null) {
                pool.handleStartFailure(start, "no address", 0, Clocks.now());
            } else {
                executor.execute(() -> session.start(start));
            }
        }
        batch.acknowledgements().forEach((target, ends) -> {
            TargetSession session = session(target);
            if (session != null) {
                session.acknowledge(ends.incarnation(), ends.upTo());
            }
        });
    }

    /** Drops jobs that ended long ago. */
    private void purge(ClockReading now) {
        if (now.millisSince(purgeNanos) < PURGE_PAUSE_MILLIS) {
            return;
        }
        purgeNanos = now.monotonicNanos();
        for (String id : pool.jobsEndedBefore(now.wallClockMillis() - KEPT_MILLIS)) {
            pool.removeJob(id);
            extra.add(KeyedRecord.drop(JobRecords.PROGRESS + id));
            extra.add(KeyedRecord.drop(JobRecords.CANCEL + id));
            extra.add(KeyedRecord.drop(JobRecords.JOB + id));
        }
    }

    /** Returns the session with a target, or null if its address was never known. */
    private TargetSession session(String id) {
        TargetSession session = sessions.get(id);
        TargetInfo info = registered.get(id);
        if (session == null && info != null) {
            TargetCalls.Endpoint address = new TargetCalls.Endpoint(id, info.address());
            session = new TargetSession(address, calls, this, epoch << FENCE_BITS, begunInheritedNanos);
            sessions.put(id, session);
        }
        return session;
    }

    /** Takes a registration. */
    void register(TargetInfo info) {
        events.add(() -> {
            TargetInfo before = registered.put(info.id(), info);
            if (before == null || before.draining() != info.draining() || before.incarnation() != info.incarnation()) {
                LOG.infof(
                        "target: target=%s address=%s data_centre=%s incarnation=%s draining=%s",
                        info.id(), info.address(), info.dataCentre(), info.incarnation(), info.draining());
            }
            pool.register(info);
            TargetSession session = session(info.id());
            session.address(new TargetCalls.Endpoint(info.id(), info.address()));
            session.verify(info.incarnation());
        });
    }

    /** Takes note that a registration is gone. */
    void unregister(String id) {
        events.add(() -> {
            LOG.infof("target: target=%s outcome=unregistered", id);
            pool.unregister(id);
        });
    }

    @Override
    public void submitted(Job job) {
        events.add(() -> pool.submit(job));
    }

    @Override
    public void cancelled(CancelRecord cancel) {
        events.add(() -> pool.cancel(cancel.id(), Clocks.now()));
    }

    @Override
    public void reported(TargetReport report) {
        events.add(() -> pool.handleReport(report, Clocks.now()));
    }

    @Override
    public void started(TargetCommand.Start start) {
        events.add(() -> pool.handleStarted(start, Clocks.now()));
    }

    @Override
    public void notStarted(TargetCommand.Start start, String reason, long avoidMillis) {
        events.add(() -> pool.handleStartFailure(start, reason, avoidMillis, Clocks.now()));
    }

    @Override
    public void silent(String target, long avoidMillis) {
        events.add(() -> pool.exclude(target, avoidMillis, Clocks.now()));
    }

    @Override
    public void lapsed(String target) {
        events.add(() -> pool.handleLeaseExpiry(target, Clocks.now()));
    }

    @Override
    public void deposed(String target) {
        stop("target " + target + " has seen a later term");
    }

    @Override
    public boolean leads() {
        return !over && Clocks.age(termLog.confirmed()) < UNCONFIRMED_MILLIS;
    }

    /** Ends the term at once. */
    void stop(String reason) {
        if (!over) {
            over = true;
            LOG.infof("lead: epoch=%s outcome=ended reason=%s", epoch, reason);
        }
    }

    /** Gives up the lead for a planned stop, so that another node takes it at once; waits until that is durable. */
    void resign(long millis) {
        long deadline = Clocks.in(millis);
        events.add(() -> {
            resigning = true;
            beatNanos -= BEAT_MILLIS * Clocks.NANOS_PER_MILLI;
        });
        while (!over && Clocks.millisUntil(deadline) > 0 && Clocks.sleep(STEP_MILLIS)) {
            Replica.Leader leader = replica.leader();
            if (leader != null && leader.record().resigned()) {
                stop("resigned");
            }
        }
    }

    private void end() {
        registry.stop();
        replica.detach();
        operators.listen(() -> {});
        sessions.values().forEach(TargetSession::close);
        executor.shutdownNow();
    }
}
