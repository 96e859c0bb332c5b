package org.acaciaport.decision;

import java.util.HashMap;
import java.util.Map;
import org.acaciaport.decision.Violation.Invariant;

/**
 * An audit of one state: compares its totals, queues and loads with the phases of all jobs, and checks every job and
 * target.
 *
 * <p>Serves for a single call of {@link #run}, which takes time linear in the size of the state. Not thread-safe.
 */
final class BookkeepingAudit {
    private final CellState state;
    private final StateInvariants stateInvariants;
    private final ViolationCollector violations;
    private final Map<String, Integer> used = new HashMap<>(); // units, by target
    private final Map<String, Integer> claimed = new HashMap<>(); // units, by target
    private final Map<String, Integer> units = new HashMap<>(); // units in use, by account

    BookkeepingAudit(CellState state, StateInvariants stateInvariants, ViolationCollector violations) {
        this.state = state;
        this.stateInvariants = stateInvariants;
        this.violations = violations;
    }

    void run(long now) {
        int queued = 0;
        for (Job job : state.workload().jobs().values()) {
            addUnits(job);
            boolean waiting = job.phase() instanceof Phase.Queued;
            queued += waiting
                            && state.workload()
                                    .queues()
                                    .hasWaiting(job.account(), job.profile().name())
                    ? 1
                    : 0;
            stateInvariants.checkJob(state, job, now);
        }
        int expected = queued;
        violations.require(
                Invariant.BOOKKEEPING,
                state.workload().queues().size() <= expected,
                () -> "queues hold " + state.workload().queues().size() + " but " + expected + " wait");
        for (TargetState target : state.fleet().targets().values()) {
            int uses = used.getOrDefault(target.id(), 0);
            int claims = claimed.getOrDefault(target.id(), 0);
            violations.require(
                    Invariant.BOOKKEEPING,
                    target.load().used() == uses && target.load().claimed() == claims,
                    () -> target.id() + " counts " + target.load() + " but jobs hold " + uses + " and claim " + claims);
            stateInvariants.checkTarget(state, target, now);
        }
        units.forEach((account, sum) -> violations.require(
                Invariant.BOOKKEEPING,
                state.workload().unitsByAccount().getOrDefault(account, 0).equals(sum),
                () -> account + " counts " + state.workload().unitsByAccount().get(account) + " but holds " + sum));
    }

    private void addUnits(Job job) {
        switch (job.phase()) {
            case Phase.Claiming claiming ->
                claiming.attempt().members().forEach(m -> claimed.merge(m.target(), m.units(), Integer::sum));
            case Phase.Reserving reserving -> addOccupied(job, reserving.attempt());
            case Phase.Committing committing -> addOccupied(job, committing.attempt());
            case Phase.Running running -> {
                for (Member member : running.attempt().members()) {
                    if (running.members().get(member.index()).occupiesAccelerators()) {
                        used.merge(member.target(), member.units(), Integer::sum);
                        units.merge(job.account(), member.units(), Integer::sum);
                    }
                }
            }
            case Phase.Queued queued -> {}
            case Phase.Paused paused -> {}
            case Phase.HandingOver handingOver -> {}
        }
    }

    private void addOccupied(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            used.merge(member.target(), member.units(), Integer::sum);
            units.merge(job.account(), member.units(), Integer::sum);
        }
    }
}
