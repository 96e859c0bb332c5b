package org.acaciaport.scheduler;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.acaciaport.config.Target;
import org.acaciaport.config.Treatment;
import org.acaciaport.decision.Attempt;
import org.acaciaport.decision.CellState;
import org.acaciaport.decision.Command;
import org.acaciaport.decision.Event;
import org.acaciaport.decision.Job;
import org.acaciaport.decision.Member;
import org.acaciaport.decision.MemberState;
import org.acaciaport.decision.Phase;
import org.acaciaport.decision.Policy;
import org.acaciaport.platform.TargetClient;
import org.jboss.logging.Logger;

/**
 * Reconciles the tasks that targets report with the state of one leader term.
 *
 * <p>Not thread-safe; confined to the deciding thread of the term.
 */
final class TaskReconciler {
    private static final Logger LOG = Logger.getLogger(LeaderTerm.class); // the JSON log format prints this name

    private final long epoch;
    private final Policy policy;
    private final TargetSessions sessions;
    private final Clock clock;
    private final Supplier<CellState> state;
    private final Consumer<Event> decide;

    /**
     * Creates a reconciler for the term of {@code epoch}.
     *
     * @param state returns the state after the last decision
     * @param decide decides on an event before it returns
     */
    TaskReconciler(
            long epoch,
            Policy policy,
            TargetSessions sessions,
            Clock clock,
            Supplier<CellState> state,
            Consumer<Event> decide) {
        this.epoch = epoch;
        this.policy = policy;
        this.sessions = sessions;
        this.clock = clock;
        this.state = state;
        this.decide = decide;
    }

    /**
     * Reconciles a reported task with the state. Applies the task's state to its request if the attempt is current,
     * adopts a suitable task of an earlier leader, and stops any other active task as an orphan.
     */
    void reconcile(Target target, TargetClient.Task task) {
        Job job = state.get().job(task.request()).orElse(null);
        Optional<Attempt> current = job == null ? Optional.empty() : job.phase().currentAttempt();
        boolean known = current.isPresent() && current.get().number() == task.attempt();
        if (!known && canAdopt(job, task)) {
            Member member = new Member(0, target.id(), task.units());
            Attempt attempt = new Attempt(task.attempt(), List.of(member), 0);
            decide.accept(new Event.Recovered(job.request(), Optional.of(attempt), false));
            known = true;
        }
        if (known) {
            applyTaskState(job, task);
        } else if (task.state().equals("running") || task.state().equals("throttled")) {
            LOG.infof("orphan: stopping request=%s attempt=%d target=%s", task.request(), task.attempt(), target.id());
            Member member = new Member(task.member(), target.id(), task.units());
            long deadline = clock.millis() + policy.stopTimeoutMillis();
            sessions.send(
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
            decide.accept(new Event.MemberChanged(task.request(), task.attempt(), task.member(), next));
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
