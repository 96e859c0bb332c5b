package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.decision.Decider;
import org.acaciaport.decision.Event;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.Leader;
import org.acaciaport.directory.Verdict;
import org.acaciaport.http.HttpStartException;
import org.acaciaport.http.JsonServer;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.platform.PlatformLog;
import org.acaciaport.platform.TargetClient;
import org.acaciaport.platform.VmList;
import org.acaciaport.program.OperatorService;
import org.acaciaport.program.ServerProgram;
import org.acaciaport.program.SettingsCheck;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Request;
import org.acaciaport.wire.WireServer;
import org.jboss.logging.Logger;

/**
 * The scheduler of one VM: follows the log, stands for leadership and serves the other programs.
 *
 * <p>Safe for use by several threads. A term of leadership begins and ends on the thread that reads the log, so its
 * first state and the entries that follow fit together.
 */
@Singleton
public final class Scheduler implements LogReplica.Listener, ServerProgram.Running {
    private static final Logger LOG = Logger.getLogger(Scheduler.class);
    private static final int PERMITS_PER_TERM = 6;
    private static final long VM_LIST_MILLIS = 1_000;
    private static final long DRAIN_MILLIS = 5_000;

    private final SchedulerSettings settings;
    private final VmList vms;
    private final TargetClient targets;
    private final Decider decider;
    private final MetricRegistry metrics;
    private final Clock clock = new Clock();
    private final Answers answers = new Answers();
    private final Explanations explanations = new Explanations();
    private final AtomicReference<LeaderTerm> leaderTerm = new AtomicReference<>();
    private final AtomicLong permitPostedAt = new AtomicLong(Long.MIN_VALUE / 2);
    private final String holder;
    private final LiveCells cells;
    private final LogReplica replica;
    private final Leadership leadership;
    private final RequestDesk desk;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("vm-list").daemon().factory());
    private volatile long vmsReadAt = Long.MIN_VALUE / 2;
    private Set<String> leaving = Set.of();
    private WireServer server;
    private JsonServer operators;

    /** Creates a scheduler that does nothing until started. */
    @Inject
    public Scheduler(
            SchedulerSettings settings,
            PlatformLog log,
            VmList vms,
            TargetClient targets,
            Decider decider,
            MetricRegistry metrics) {
        this.settings = settings;
        this.vms = vms;
        this.targets = targets;
        this.decider = decider;
        this.metrics = metrics;
        holder = settings.vm().name() + "/" + UUID.randomUUID();
        cells = new LiveCells(clock, settings.leases().leaderMillis());
        replica = new LogReplica(log, clock, holder, metrics);
        leadership = new Leadership(replica, clock, settings, holder);
        desk = new RequestDesk(settings, replica, leadership, leaderTerm, answers, explanations, clock, metrics);
    }

    /**
     * Begins to listen and to follow the log.
     *
     * @throws IOException if the programs' address cannot be bound
     * @throws HttpStartException if the operators' address cannot be bound
     */
    public void start() throws IOException, HttpStartException {
        server = WireServer.start(address(settings.listen().programs()), desk);
        operators =
                JsonServer.start(address(settings.listen().operators()), new OperatorService(metrics, this::health));
        replica.start(this);
        leadership.start();
        timer.scheduleWithFixedDelay(this::readVms, 0, VM_LIST_MILLIS, TimeUnit.MILLISECONDS);
        LOG.infof(
                "scheduler: started vm=%s data-centre=%s",
                settings.vm().name(), settings.vm().dataCentre());
    }

    private static InetSocketAddress address(String text) {
        return SettingsCheck.parse(text);
    }

    private OperatorService.Health health() {
        boolean ready = replica.directory().active().revision() >= 0;
        return new OperatorService.Health(ready, ready ? "configuration in force" : "no configuration yet");
    }

    @Override
    public void applied(LogEntry entry, Verdict verdict, Directory directory) {
        if (!verdict.applied()) {
            LOG.infof(
                    "replay: void offset=%d verdict=%s",
                    entry.offset(), verdict.getClass().getSimpleName());
            return;
        }
        String here = settings.vm().dataCentre();
        LeaderTerm current = leaderTerm.get();
        switch (entry.record()) {
            case LogRecord.Published published -> configured(current, directory);
            case LogRecord.ServiceChanged change -> configured(current, directory);
            case LogRecord.Led led -> {
                cells.renewed(led.dataCentre());
                if (led.dataCentre().equals(here)) {
                    led(directory.leader(here), directory);
                }
            }
            case LogRecord.Resigned resigned -> {
                if (resigned.dataCentre().equals(here)) {
                    end("resigned");
                }
            }
            case LogRecord.Accepted accepted -> {
                if (current != null && accepted.dataCentre().equals(here)) {
                    current.event(new Event.Submitted(accepted.request(), false));
                }
            }
            case LogRecord.HandedOver handedOver -> {
                if (current != null && handedOver.to().equals(here)) {
                    Request request = directory.request(handedOver.request()).request();
                    current.event(new Event.Submitted(request, request.profile().idempotent()));
                }
            }
            case LogRecord.Finished finished -> answers.give(finished.request(), finished.outcome());
            case LogRecord.Intended intended -> {}
            case LogRecord.Voided voided -> {}
        }
    }

    private void configured(LeaderTerm current, Directory directory) {
        LOG.infof(
                "config: in force revision=%d out=%s",
                directory.active().revision(), directory.active().out());
        if (current != null) {
            current.event(new Event.Configured(directory.active()));
        }
    }

    private void led(Leader leader, Directory directory) {
        leadership.seen(leader);
        LeaderTerm current = leaderTerm.get();
        boolean mine = leader.holder().equals(holder);
        if (current != null && (!mine || current.epoch() != leader.epoch())) {
            end("epoch " + leader.epoch() + " has begun");
        }
        if (mine && leaderTerm.get() == null) {
            LeaderTerm next = new LeaderTerm(
                    leader.epoch(),
                    settings,
                    decider,
                    replica,
                    targets,
                    clock,
                    answers,
                    explanations,
                    cells,
                    metrics,
                    () -> end("a target has seen a later epoch"));
            leaderTerm.set(next);
            next.begin(directory);
        }
    }

    private void end(String why) {
        LeaderTerm ended = leaderTerm.getAndSet(null);
        if (ended != null) {
            LOG.infof("lead: ended epoch=%d why=%s", ended.epoch(), why);
            ended.close();
        }
    }

    @Override
    public void caughtUp(long sentAt) {
        LeaderTerm current = leaderTerm.get();
        long term = settings.leases().permitMillis();
        boolean listKnown = sentAt - vmsReadAt < 2 * VM_LIST_MILLIS + term;
        if (current == null || !listKnown || sentAt - permitPostedAt.get() < term / PERMITS_PER_TERM) {
            return;
        }
        permitPostedAt.set(sentAt);
        current.event(new Event.PermitRenewed(sentAt + term));
    }

    @Override
    public void available(boolean now) {
        LOG.infof("log: available=%s", now);
        LeaderTerm current = leaderTerm.get();
        if (current != null) {
            current.event(new Event.LogChanged(now));
        }
    }

    private void readVms() {
        long sentAt = clock.millis();
        try {
            leaving = vms.leaving();
            vmsReadAt = sentAt;
        } catch (PlatformException e) {
            LOG.debugf("vms: list not read, %s", e.getMessage());
        }
        LeaderTerm current = leaderTerm.get();
        if (current != null) {
            current.event(new Event.LeavingListed(leaving));
        }
    }

    @Override
    public void drain() throws InterruptedException {
        LOG.info("scheduler: stopping");
        desk.drain();
        leadership.resign();
        leadership.close();
        timer.shutdownNow();
        try {
            server.drain(DRAIN_MILLIS);
        } catch (IOException e) {
            LOG.warnf("scheduler: connections did not close cleanly, %s", e.getMessage());
        }
        end("the program stops");
        operators.stop();
        replica.close();
        LOG.info("scheduler: stopped");
    }
}
