package org.acaciaport.decision;

import java.util.List;
import org.acaciaport.decision.Violation.Invariant;

/**
 * Checks every decision against the invariants that the system guarantees.
 *
 * <p>The checks read events, commands and states and share no code with the classes that make the decisions, so that a
 * fault there cannot hide itself here. {@link #check} takes time linear in the number of targets and commands that the
 * decision touched, {@link #audit} time linear in the size of the state. Not thread-safe; used by the thread that makes
 * the decisions.
 */
public final class Invariants {
    private final ViolationCollector violations = new ViolationCollector();
    private final CommandInvariants commandInvariants = new CommandInvariants(violations);
    private final StateInvariants stateInvariants;

    /** Creates a checker for decisions made under {@code policy}. */
    public Invariants(Policy policy) {
        stateInvariants = new StateInvariants(policy, violations);
    }

    /** Returns the number of conditions checked so far. */
    public long checkCount() {
        return violations.checkCount();
    }

    /**
     * Checks one decision and returns the violations found, if any. Must be called for every decision, in order.
     *
     * @param before the state that the decision started from
     * @param event the event that was decided on
     * @param now the time of the decision, in milliseconds
     */
    public List<Violation> check(CellState before, Event event, Decision decision, long now) {
        violations.clear();
        stateInvariants.detectPause(before, now);
        commandInvariants.record(event);
        CellState after = decision.state();
        violations.require(
                Invariant.REVISION,
                after.active().revision() >= before.active().revision(),
                () -> "revision " + before.active().revision() + " became "
                        + after.active().revision());
        for (String id : decision.changedTargets()) {
            TargetState target = after.fleet().target(id);
            if (target != null) {
                stateInvariants.checkTarget(after, target, now);
            }
        }
        for (Command command : decision.commands()) {
            commandInvariants.check(after, command, now);
        }
        checkPrecedence(before, decision);
        return violations.found();
    }

    /** Checks the placements of {@code decision}, which are recognised by the notes of {@link Dispatcher}. */
    private void checkPrecedence(CellState before, Decision decision) {
        for (Note note : decision.notes()) {
            boolean placed = note.part().equals("place") && note.text().contains("attempt=");
            Job job = placed ? before.workload().jobs().get(note.request()) : null;
            if (job == null || !(job.phase() instanceof Phase.Queued)) {
                continue;
            }
            for (String head : decision.state().workload().queues().heads(job.account())) {
                Job waiting = decision.state().workload().jobs().get(head);
                Job earlier = before.workload().jobs().get(head);
                boolean waited = earlier != null && before.workload().queues().isHead(earlier);
                violations.require(
                        Invariant.PRECEDENCE,
                        !waited
                                || !waiting.profile()
                                        .precedes()
                                        .contains(job.profile().name()),
                        () -> job.id() + " placed while " + head + " waits");
            }
        }
    }

    /** Checks the whole of {@code state} and returns the violations found, if any. */
    public List<Violation> audit(CellState state, long now) {
        violations.clear();
        new BookkeepingAudit(state, stateInvariants, violations).run(now);
        return violations.found();
    }
}
