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
import org.acaciaport.program.PeriodicTasks;
import org.acaciaport.program.ServerProgram;
import org.acaciaport.program.SettingsCheck;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Request;
import org.acaciaport.wire.WireServer;
import org.jboss.logging.Logger;

/**
 * The scheduler of one VM. It replays the log, takes part in the leader election of its data centre and answers queries
 * from other programs.
 *
 * <p>Thread-safe. A leader term starts on the thread that replays the log, so it starts from the state after one entry
 * and receives every entry that follows.
 */
@Singleton
public final class Scheduler implements LogReplica.Listener, ServerProgram.RunningServer {
    private static final Logger LOG = Logger.getLogger(Scheduler.class);
    /** Renewals of the permit to start work within its duration. */
    private static final int PERMIT_RENEWALS_PER_LEASE = 6;

    private static final long VM_LIST_REFRESH_MILLIS = 1_000;
    private static final long DRAIN_TIMEOUT_MILLIS = 5_000;

    private final SchedulerSettings settings;
    private final VmList vms;
    private final TargetClient targets;
    private final Decider decider;
    private final MetricRegistry metrics;
    private final Clock clock = new Clock();
    private final RecentOutcomes outcomes = new RecentOutcomes();
    private final Explanations explanations = new Explanations();
    private final AtomicReference<LeaderTerm> leaderTerm = new AtomicReference<>();

    // Initially in the distant past; half of the least value, so that the difference to the current time cannot
    // overflow.
    private final AtomicLong permitRenewedAtMillis = new AtomicLong(Long.MIN_VALUE / 2);

    // Unique name of this process, as holder of the leadership and as writer on the log.
    private final String holder;

    private final LeaderLiveness leaderLiveness;
    private final LogReplica replica;
    private final LeaderElection election;
    private final RequestService requestService;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("vm-list").daemon().factory());
    private volatile long vmListReadAtMillis = Long.MIN_VALUE / 2;
    private Set<String> leavingVms = Set.of();
    private WireServer server;
    private JsonServer operators;

    /** Creates a scheduler that is not started yet. */
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
        leaderLiveness = new LeaderLiveness(clock, settings.leases().leaderMillis());
        replica = new LogReplica(log, clock, holder, metrics);
        election = new LeaderElection(replica, clock, settings, holder);
        requestService =
                new RequestService(settings, replica, election, leaderTerm, outcomes, explanations, clock, metrics);
    }

    /**
     * Starts to answer queries and to replay the log.
     *
     * @throws IOException if the programs' address cannot be bound
     * @throws HttpStartException if the operators' address cannot be bound
     */
    public void start() throws IOException, HttpStartException {
        server = WireServer.start(parseAddress(settings.listen().programs()), requestService);
        operators = JsonServer.start(
                parseAddress(settings.listen().operators()), new OperatorService(metrics, this::health));
        replica.start(this);
        election.start();
        Runnable refresh = PeriodicTasks.logged("vm-list", this::refreshVmList);
        timer.scheduleWithFixedDelay(refresh, 0, VM_LIST_REFRESH_MILLIS, TimeUnit.MILLISECONDS);
        LOG.infof(
                "scheduler: started vm=%s data-centre=%s",
                settings.vm().name(), settings.vm().dataCentre());
    }

    private static InetSocketAddress parseAddress(String text) {
        return SettingsCheck.parseAddress(text);
    }

    private OperatorService.Health health() {
        boolean ready = replica.directory().active().revision() >= 0;
        return new OperatorService.Health(ready, ready ? "configuration in force" : "no configuration yet");
    }

    @Override
    public void onApplied(LogEntry entry, Verdict verdict, Directory directory) {
        if (!verdict.applied()) {
            LOG.infof(
                    "replay: entry had no effect, offset=%d verdict=%s",
                    entry.offset(), verdict.getClass().getSimpleName());
            return;
        }
        String localDataCentre = settings.vm().dataCentre();
        LeaderTerm current = leaderTerm.get();
        switch (entry.record()) {
            case LogRecord.Published published -> onConfigurationChange(current, directory);
            case LogRecord.ServiceChanged change -> onConfigurationChange(current, directory);
            case LogRecord.Led led -> {
                leaderLiveness.recordRenewal(led.dataCentre());
                if (led.dataCentre().equals(localDataCentre)) {
                    onLeaderRecord(directory.leader(localDataCentre), directory);
                }
            }
            case LogRecord.Resigned resigned -> {
                if (resigned.dataCentre().equals(localDataCentre)) {
                    endTerm("resigned");
                }
            }
            case LogRecord.Accepted accepted -> {
                if (current != null && accepted.dataCentre().equals(localDataCentre)) {
                    current.onEvent(new Event.Submitted(accepted.request(), false));
                }
            }
            case LogRecord.HandedOver handedOver -> {
                if (current != null && handedOver.to().equals(localDataCentre)) {
                    Request request = directory.request(handedOver.request()).request();
                    current.onEvent(
                            new Event.Submitted(request, request.profile().idempotent()));
                }
            }
            case LogRecord.Finished finished -> outcomes.complete(finished.request(), finished.outcome());
            case LogRecord.Intended intended -> {}
            case LogRecord.Voided voided -> {}
        }
    }

    private void onConfigurationChange(LeaderTerm current, Directory directory) {
        LOG.infof(
                "config: active revision=%d out=%s",
                directory.active().revision(), directory.active().out());
        if (current != null) {
            current.onEvent(new Event.Configured(directory.active()));
        }
    }

    /** Starts or ends the leader term if {@code leader} has changed. */
    private void onLeaderRecord(Leader leader, Directory directory) {
        election.recordRenewal(leader);
        LeaderTerm current = leaderTerm.get();
        boolean mine = leader.holder().equals(holder);
        if (current != null && (!mine || current.epoch() != leader.epoch())) {
            endTerm("epoch " + leader.epoch() + " has begun");
        }
        if (mine && leaderTerm.get() == null) {
            LeaderTerm next = new LeaderTerm(
                    leader.epoch(),
                    settings,
                    decider,
                    replica,
                    targets,
                    clock,
                    outcomes,
                    explanations,
                    leaderLiveness,
                    metrics,
                    () -> endTerm("a target has seen a later epoch"));
            leaderTerm.set(next);
            next.start(directory);
        }
    }

    private void endTerm(String why) {
        LeaderTerm ended = leaderTerm.getAndSet(null);
        if (ended != null) {
            LOG.infof("lead: ended epoch=%d why=%s", ended.epoch(), why);
            ended.close();
        }
    }

    @Override
    public void onCaughtUp(long sentAt) {
        LeaderTerm current = leaderTerm.get();
        long permitMillis = settings.leases().permitMillis();
        // Without a recent list it is unknown which VMs are leaving, so the permit is left to expire.
        boolean vmListFresh = sentAt - vmListReadAtMillis < 2 * VM_LIST_REFRESH_MILLIS + permitMillis;
        if (current == null
                || !vmListFresh
                || sentAt - permitRenewedAtMillis.get() < permitMillis / PERMIT_RENEWALS_PER_LEASE) {
            return;
        }
        permitRenewedAtMillis.set(sentAt);
        current.onEvent(new Event.PermitRenewed(sentAt + permitMillis));
    }

    @Override
    public void onAvailabilityChanged(boolean available) {
        LOG.infof("log: available=%s", available);
        LeaderTerm current = leaderTerm.get();
        if (current != null) {
            current.onEvent(new Event.LogChanged(available));
        }
    }

    private void refreshVmList() {
        long sentAt = clock.millis();
        try {
            leavingVms = vms.leaving();
            vmListReadAtMillis = sentAt;
        } catch (PlatformException e) {
            LOG.debugf("vms: cannot read the list of VMs, %s", e.getMessage());
        }
        LeaderTerm current = leaderTerm.get();
        if (current != null) {
            current.onEvent(new Event.LeavingListed(leavingVms));
        }
    }

    @Override
    public void drain() throws InterruptedException {
        LOG.info("scheduler: stopping");
        requestService.drain();
        election.resign();
        election.close();
        timer.shutdownNow();
        try {
            server.drain(DRAIN_TIMEOUT_MILLIS);
        } catch (IOException e) {
            LOG.warnf("scheduler: connections did not close cleanly, %s", e.getMessage());
        }
        endTerm("the program is stopping");
        operators.stop();
        replica.close();
        LOG.info("scheduler: stopped");
    }
}
