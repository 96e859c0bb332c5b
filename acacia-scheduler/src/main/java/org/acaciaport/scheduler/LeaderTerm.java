package org.acaciaport.scheduler;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.acaciaport.config.Target;
import org.acaciaport.decision.Attempt;
import org.acaciaport.decision.CellState;
import org.acaciaport.decision.Decider;
import org.acaciaport.decision.Decision;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.Invariants;
import org.acaciaport.decision.Note;
import org.acaciaport.decision.Violation;
import org.acaciaport.directory.Directory;
import org.acaciaport.directory.RequestState;
import org.acaciaport.platform.TargetClient;
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
    private final Clock clock;
    private final Explanations explanations;
    private final MetricRegistry metrics;
    private final Timer decisionTimer;
    private final Runnable supersededCallback;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();

    // Used only by the deciding thread.
    private final TargetSessions sessions;
    private final CommandExecutor executor;
    private final TaskReconciler reconciler;

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
        this.clock = clock;
        this.explanations = explanations;
        this.metrics = metrics;
        this.decisionTimer = metrics.timer("decide.time");
        this.supersededCallback = supersededCallback;
        state = CellState.initial(settings.vm().dataCentre(), epoch);
        sessions = new TargetSessions(epoch, settings, targets, clock, this);
        executor = new CommandExecutor(
                epoch, settings, replica, sessions, outcomes, leaderLiveness, metrics, this::state, this::onEvent);
        reconciler = new TaskReconciler(epoch, decider.policy(), sessions, clock, this::state, this::decide);
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
        queue.add(() -> reconciler.reconcile(target, task));
    }

    @Override
    public void close() {
        open = false;
        queue.add(sessions::close);
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
            sessions.open(configured.active());
        }
        decision.commands().forEach(executor::execute);
    }
}
