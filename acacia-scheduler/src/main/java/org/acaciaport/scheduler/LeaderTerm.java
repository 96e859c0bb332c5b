package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.DataCentre;
import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;
import org.acaciaport.decision.Attempt;
import org.acaciaport.decision.CellState;
import org.acaciaport.decision.Command;
import org.acaciaport.decision.Decider;
import org.acaciaport.decision.Decision;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.Invariants;
import org.acaciaport.decision.Job;
import org.acaciaport.decision.Member;
import org.acaciaport.decision.MemberState;
import org.acaciaport.decision.Note;
import org.acaciaport.decision.Phase;
import org.acaciaport.decision.Violation;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.RequestState;
import org.acaciaport.platform.TargetClient;
import org.acaciaport.record.LogRecord;
import org.acaciaport.request.Request;
import org.jboss.logging.Logger;

/**
 * The term of one epoch in which this process leads its data centre. It passes events to the decider, checks each
 * decision against the invariants and executes its commands.
 *
 * <p>Thread-safe. A single thread handles all events, in the order in which they were queued. It publishes the state
 * before it executes the commands that follow from it; other threads read the published state without blocking.
 */
final class LeaderTerm implements AutoCloseable, TargetSession.Listener {
    private static final Logger LOG = Logger.getLogger(LeaderTerm.class);
    private static final Logger INVARIANTS = Logger.getLogger(Invariants.class);
    private static final long MAX_IDLE_MILLIS = 1_000;

    private final long epoch;
    private final SchedulerSettings settings;
    private final Decider decider;
    private final Invariants invariants;
    private final LogReplica replica;
    private final TargetClient targets;
    private final Clock clock;
    private final RecentOutcomes outcomes;
    private final Explanations explanations;
    private final LeaderLiveness leaderLiveness;
    private final MetricRegistry metrics;
    private final Timer decisionTimer;
    private final Runnable supersededCallback;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();

    // Accessed only by the deciding thread, by identifier of the target.
    private final Map<String, TargetSession> sessions = new HashMap<>();
    private final Map<String, Target> sessionTargets = new HashMap<>();

    private volatile CellState state;
    private volatile boolean open = true;

    LeaderTerm(
            long epoch,
            SchedulerSettings settings,
            Decider decider,
            LogReplica replica,
            TargetClient targets,
            Clock clock,
            RecentOutcomes outcomes,
            Explanations explanations,
            LeaderLiveness leaderLiveness,
            MetricRegistry metrics,
            Runnable supersededCallback) {
        this.epoch = epoch;
        this.settings = settings;
        this.decider = decider;
        this.invariants = new Invariants(decider.policy());
        this.replica = replica;
        this.targets = targets;
        this.clock = clock;
        this.outcomes = outcomes;
        this.explanations = explanations;
        this.leaderLiveness = leaderLiveness;
        this.metrics = metrics;
        this.decisionTimer = metrics.timer("decide.time");
        this.supersededCallback = supersededCallback;
        state = CellState.initial(settings.vm().dataCentre(), epoch);
    }

    /** Queues the configuration and the unfinished requests of {@code directory} and starts the deciding thread. */
    void start(Directory directory) {
        onEvent(new Event.Configured(directory.active()));
        for (RequestState recorded : directory.requests()) {
            if (recorded.outcome() == null
                    && recorded.home().equals(settings.vm().dataCentre())) {
                onEvent(new Event.Recovered(recorded.request(), recoveredAttempt(recorded), recorded.checkpointed()));
            }
        }
        LOG.infof("lead: leading data-centre=%s epoch=%d", settings.vm().dataCentre(), epoch);
        Thread.ofPlatform().name("decider-" + epoch).daemon().start(this::processEvents);
    }

    private static Optional<Attempt> recoveredAttempt(RequestState recorded) {
        return Optional.ofNullable(recorded.intent()).map(intent -> new Attempt(intent.attempt(), intent.members(), 0));
    }

    long epoch() {
        return epoch;
    }

    /** Returns the state after the last decision. */
    CellState state() {
        return state;
    }

    @Override
    public void onEvent(Event event) {
        queue.add(() -> decide(event));
    }

    @Override
    public void onSuperseded() {
        supersededCallback.run();
    }

    @Override
    public void onTaskReport(Target target, TargetClient.Task task) {
        queue.add(() -> reconcile(target, task));
    }

    @Override
    public void close() {
        open = false;
        queue.add(() -> sessions.values().forEach(TargetSession::close));
    }

    private void processEvents() {
        while (open || !queue.isEmpty()) {
            try {
                long timerMillis = state.nextTimerAt().orElse(Long.MAX_VALUE);
                long waitMillis = Math.max(0, Math.min(MAX_IDLE_MILLIS, timerMillis - clock.millis()));
                Runnable action = queue.poll(waitMillis, TimeUnit.MILLISECONDS);
                if (action != null) {
                    action.run();
                } else if (timerMillis <= clock.millis()) {
                    decide(new Event.Tick());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                LOG.errorf(e, "decide: event failed and was skipped");
                metrics.counter("decide.failed").inc();
            }
        }
    }

    private void decide(Event event) {
        if (!open) {
            return;
        }
        CellState before = state;
        long now = clock.millis();
        Decision decision = decisionTimer.timeSupplier(() -> decider.decide(before, event, now));
        for (Violation violation : invariants.check(before, event, decision, now)) {
            INVARIANTS.errorf("invariant: broken %s, %s", violation.invariant(), violation.detail());
            metrics.counter("invariant.broken").inc();
        }
        state = decision.state();
        for (Note note : decision.notes()) {
            LOG.info(note.toString());
            explanations.add(note);
        }
        if (event instanceof Event.Configured configured) {
            openSessions(configured.active());
        }
        decision.commands().forEach(this::execute);
    }

    /** Opens a session for each target that is new or changed in {@code active}; changed targets get a new session. */
    private void openSessions(ActiveConfiguration active) {
        for (Target target : active.configuration().targetsOf(settings.vm().dataCentre())) {
            if (target.equals(sessionTargets.get(target.id()))) {
                continue;
            }
            TargetSession previous = sessions.remove(target.id());
            if (previous != null) {
                previous.close();
            }
            TargetSession session =
                    new TargetSession(target, epoch, settings.leases().targetMillis(), targets, clock, this);
            sessions.put(target.id(), session);
            sessionTargets.put(target.id(), target);
            session.start();
        }
    }

    private void execute(Command command) {
        metrics.counter("command." + command.getClass().getSimpleName()).inc();
        switch (command) {
            case Command.Reserve reserve -> send(reserve.member(), reserve, () -> true);
            case Command.Release release -> send(release.member(), release, () -> true);
            case Command.Start start ->
                send(
                        start.member(),
                        start,
                        () -> occupies(start.request().id(), start.attempt().number(), start.member()));
            case Command.Treat treat ->
                send(treat.member(), treat, () -> occupies(treat.request(), treat.attempt(), treat.member()));
            case Command.Resume resume -> send(resume.member(), resume, () -> true);
            case Command.RecordIntent intent -> recordIntent(intent);
            case Command.RecordVoid recordVoid ->
                replica.append(
                        new LogRecord.Voided(recordVoid.request(), recordVoid.attempt(), recordVoid.checkpointed()));
            case Command.Answer answer -> {
                metrics.counter("answer." + answer.outcome().statusName()).inc();
                outcomes.complete(answer.request().id(), answer.outcome());
                replica.append(new LogRecord.Finished(answer.request().id(), answer.outcome()));
            }
            case Command.HandOver handOver -> handOver(handOver.request());
        }
    }

    private void send(Member member, Command command, Supplier<Boolean> stillWanted) {
        TargetSession session = sessions.get(member.target());
        if (session != null) {
            session.send(stillWanted, command);
        }
    }

    /** Returns whether {@code member} still occupies its place in the request's current, running attempt. */
    private boolean occupies(String request, long attempt, Member member) {
        return state.job(request)
                .filter(job -> job.phase() instanceof Phase.Running running
                        && running.attempt().number() == attempt
                        && running.members().get(member.index()).occupiesAccelerators())
                .isPresent();
    }

    private void recordIntent(Command.RecordIntent intent) {
        String request = intent.request().id();
        long attempt = intent.attempt().number();
        LogRecord.Intended record = new LogRecord.Intended(
                settings.vm().dataCentre(),
                request,
                attempt,
                epoch,
                intent.attempt().members());
        replica.append(record)
                .whenComplete((verdict, error) ->
                        onEvent(new Event.IntentAnswered(request, attempt, error == null && verdict.applied())));
    }

    /**
     * Hands the request over to another data centre that is in service and has a live leader, chosen by rendezvous
     * hashing.
     */
    private void handOver(Request request) {
        String localDataCentre = settings.vm().dataCentre();
        String destination = null;
        long bestScore = Long.MIN_VALUE;
        for (DataCentre candidate : state.active().configuration().dataCentres()) {
            long score = Hashing.murmur3_128()
                    .hashString(request.id() + '/' + candidate.name(), StandardCharsets.UTF_8)
                    .asLong();
            boolean eligible =
                    state.active().inService(candidate.name()) && leaderLiveness.hasLiveLeader(candidate.name());
            if (eligible && !candidate.name().equals(localDataCentre) && score > bestScore) {
                bestScore = score;
                destination = candidate.name();
            }
        }
        if (destination == null) {
            onEvent(new Event.HandOverAnswered(request.id(), false));
            return;
        }
        replica.append(new LogRecord.HandedOver(request.id(), localDataCentre, destination))
                .whenComplete((verdict, error) ->
                        onEvent(new Event.HandOverAnswered(request.id(), error == null && verdict.applied())));
    }

    /**
     * Reconciles a reported task with the state. Applies the task's state to its request if the attempt is current,
     * adopts a suitable task of an earlier leader, and stops any other active task as an orphan.
     */
    private void reconcile(Target target, TargetClient.Task task) {
        Job job = state.job(task.request()).orElse(null);
        Optional<Attempt> current = job == null ? Optional.empty() : job.phase().currentAttempt();
        boolean known = current.isPresent() && current.get().number() == task.attempt();
        if (!known && canAdopt(job, task)) {
            Member member = new Member(0, target.id(), task.units());
            Attempt attempt = new Attempt(task.attempt(), List.of(member), 0);
            decide(new Event.Recovered(job.request(), Optional.of(attempt), false));
            known = true;
        }
        if (known) {
            applyTaskState(job, task);
        } else if (task.state().equals("running") || task.state().equals("throttled")) {
            LOG.infof("orphan: stopping request=%s attempt=%d target=%s", task.request(), task.attempt(), target.id());
            Member member = new Member(task.member(), target.id(), task.units());
            long deadline = clock.millis() + decider.policy().stopTimeoutMillis();
            send(
                    member,
                    new Command.Treat(task.request(), task.attempt(), member, Treatment.STOP, deadline),
                    () -> true);
        }
    }

    /**
     * Returns whether to adopt a task that an earlier leader started. The task must be running or ended. Its request
     * must be idempotent, run as a single task and still be queued, that is, not have been placed again.
     */
    private boolean canAdopt(Job job, TargetClient.Task task) {
        boolean runningOrEnded = task.state().equals("running") || task.state().equals("ended");
        return job != null
                && runningOrEnded
                && CellState.epochOf(task.attempt()) < epoch
                && job.phase() instanceof Phase.Queued
                && job.profile().idempotent()
                && !job.profile().runsAsGang();
    }

    /** Passes the task's state to the decider unless it is that state already. */
    private void applyTaskState(Job job, TargetClient.Task task) {
        MemberState.Status status = statusOf(task.state());
        boolean unchanged = job.phase() instanceof Phase.Running running
                && running.members().containsKey(task.member())
                && running.members().get(task.member()).status() == status;
        if (!unchanged) {
            MemberState next = new MemberState(status, task.output());
            decide(new Event.MemberChanged(task.request(), task.attempt(), task.member(), next));
        }
    }

    private static MemberState.Status statusOf(String state) {
        return switch (state) {
            case "running" -> MemberState.Status.RUNNING;
            case "ended" -> MemberState.Status.ENDED;
            case "failed" -> MemberState.Status.FAILED;
            case "checkpointed" -> MemberState.Status.CHECKPOINTED;
            case "throttled" -> MemberState.Status.THROTTLED;
            case "not-started" -> MemberState.Status.NOT_STARTED;
            default -> MemberState.Status.STOPPED;
        };
    }
}
