package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.acaciaport.config.Profile;
import org.acaciaport.config.SliceAssignment;
import org.acaciaport.decision.Violation.Invariant;
import org.acaciaport.request.Outcome;

/**
 * Checks every decision against the invariants that the system guarantees.
 *
 * <p>The checks read events, commands and states and share no code with the classes that make the decisions, so that a
 * fault there cannot hide itself here. {@link #check} takes time linear in the number of targets and commands that the
 * decision touched, {@link #audit} time linear in the size of the state. Not thread-safe; used by the thread that makes
 * the decisions.
 */
public final class Invariants {
    /** Delay of a due timer from which the process counts as having been paused, in milliseconds. */
    private static final long PAUSE_THRESHOLD_MILLIS = 500;

    private final StartLedger ledger = new StartLedger();
    private final Policy policy;
    private final List<Violation> found = new ArrayList<>();
    private long checks;
    private long pauseEnd = Long.MIN_VALUE;

    /** Creates a checker for decisions made under {@code policy}. */
    public Invariants(Policy policy) {
        this.policy = policy;
    }

    /** Returns the number of conditions checked so far. */
    public long checkCount() {
        return checks;
    }

    /**
     * Checks one decision and returns the violations found, if any. Must be called for every decision, in order.
     *
     * @param before the state that the decision started from
     * @param event the event that was decided on
     * @param now the time of the decision, in milliseconds
     */
    public List<Violation> check(CellState before, Event event, Decision decision, long now) {
        found.clear();
        detectPause(before, now);
        record(event);
        CellState after = decision.state();
        require(
                Invariant.REVISION,
                after.active().revision() >= before.active().revision(),
                () -> "revision " + before.active().revision() + " became "
                        + after.active().revision());
        for (String id : decision.changedTargets()) {
            TargetState target = after.fleet().target(id);
            if (target != null) {
                checkTarget(after, target, now);
            }
        }
        for (Command command : decision.commands()) {
            checkCommand(before, after, command, now);
        }
        checkPrecedence(before, decision);
        return List.copyOf(found);
    }

    /**
     * Detects that the whole process was paused, which shows in a timer that is long overdue. No preemption can proceed
     * during a pause, so the bounds on claims made earlier count from its end.
     */
    private void detectPause(CellState before, long now) {
        if (before.nextTimerAt().orElse(Long.MAX_VALUE) < now - PAUSE_THRESHOLD_MILLIS) {
            pauseEnd = now;
        }
    }

    private void record(Event event) {
        switch (event) {
            case Event.ReserveAnswered answer -> {
                if (answer.granted()) {
                    ledger.recordReservation(answer.attempt(), answer.member());
                }
            }
            case Event.IntentAnswered answer -> {
                if (answer.recorded()) {
                    ledger.recordIntent(answer.attempt());
                }
            }
            case Event.MemberChanged change -> {
                MemberState.Status status = change.state().status();
                if (status == MemberState.Status.NOT_STARTED || status == MemberState.Status.CHECKPOINTED) {
                    ledger.withdrawStart(change.request(), change.attempt(), change.member());
                }
            }
            case Event.Recovered recovered ->
                recovered.intent().ifPresent(intent -> intent.members()
                        .forEach(m -> ledger.recordStart(recovered.request().id(), intent.number(), m.index())));
            case Event.Tick tick -> {}
            case Event.Submitted submitted -> {}
            case Event.CancelAsked cancel -> {}
            case Event.HandOverAnswered answer -> {}
            case Event.Configured configured -> {}
            case Event.PermitRenewed permit -> {}
            case Event.LogChanged log -> {}
            case Event.LeavingListed leaving -> {}
            case Event.TargetReachable reachable -> {}
            case Event.TargetLost lost -> {}
        }
    }

    private void checkTarget(CellState after, TargetState target, long now) {
        Load load = target.load();
        require(
                Invariant.CAPACITY,
                load.used() - unconfirmedUnits(after, target) <= target.capacity(),
                () -> target.id() + " holds " + load.used() + " of " + target.capacity() + " by "
                        + describeUsers(after, target));
        require(
                Invariant.GUARANTEE,
                !target.isUsable()
                        || SliceAssignment.committedUnits(target.owned(), load.irrevocableByAccount())
                                <= target.capacity(),
                () -> target.id() + " owned=" + target.owned() + " irrevocable=" + load.irrevocableByAccount());
        for (String id : load.jobs()) {
            Job job = after.workload().jobs().get(id);
            require(Invariant.BOOKKEEPING, job != null, () -> target.id() + " lists unknown request " + id);
            if (job != null) {
                checkJob(after, job, now);
            }
        }
    }

    /**
     * Returns the accelerators of {@code target} counted for members that an earlier leader may have started and the
     * target has not reported on yet. Some of these members may have ended and been replaced, so their accelerators may
     * be counted twice.
     */
    private static int unconfirmedUnits(CellState after, TargetState target) {
        int units = 0;
        for (String id : target.load().jobs()) {
            Job job = after.workload().jobs().get(id);
            if (job != null && job.phase() instanceof Phase.Running running && isRecovered(after, running)) {
                units += startingUnitsOn(running, target);
            }
        }
        return units;
    }

    private static boolean isRecovered(CellState after, Phase.Running running) {
        return CellState.epochOf(running.attempt().number())
                < CellState.epochOf(after.workload().lastAttempt());
    }

    private static int startingUnitsOn(Phase.Running running, TargetState target) {
        int units = 0;
        for (Member member : running.attempt().members()) {
            MemberState.Status status = running.members().get(member.index()).status();
            boolean starting = status == MemberState.Status.STARTING;
            units += starting && member.target().equals(target.id()) ? member.units() : 0;
        }
        return units;
    }

    private void checkJob(CellState after, Job job, long now) {
        if (job.phase() instanceof Phase.Running running) {
            boolean memberGone = running.members().values().stream()
                    .anyMatch(m -> !m.occupiesAccelerators() && m.status() != MemberState.Status.ENDED);
            require(
                    Invariant.GANG_WHOLE,
                    !memberGone
                            || !running.occupiesAccelerators()
                            || running.revocation().isPresent(),
                    () -> job.id() + " goes on without a member, members=" + running.members());
        }
        if (job.phase() instanceof Phase.Claiming claiming && now > effectiveDeadline(claiming)) {
            Invariant bound = claiming.forLargeJob() ? Invariant.LARGE_JOB_BOUND : Invariant.RECLAIM_BOUND;
            require(
                    bound,
                    arePlacesFree(after, claiming),
                    () -> job.id() + " claimed at " + claiming.claimedAt() + ", deadline " + claiming.deadline()
                            + ", places still in use at " + now + " by " + describeUsers(after, claiming));
        }
    }

    private static String describeUsers(CellState after, Phase.Claiming claiming) {
        StringBuilder text = new StringBuilder();
        for (Member member : claiming.attempt().members()) {
            text.append(describeUsers(after, after.fleet().target(member.target())))
                    .append(' ');
        }
        return text.toString();
    }

    private static String describeUsers(CellState after, TargetState target) {
        StringBuilder text = new StringBuilder();
        text.append(target.id()).append(" owned=").append(target.owned()).append(" [");
        for (String id : target.load().jobs()) {
            Job job = after.workload().jobs().get(id);
            text.append(id).append(' ').append(job.profile().name()).append(' ');
            text.append(job.account()).append(' ').append(job.phase()).append("; ");
        }
        return text.append(']').toString();
    }

    /** Returns the deadline of a claim, extended if the process was paused after the claim was made. */
    private long effectiveDeadline(Phase.Claiming claiming) {
        boolean paused = claiming.claimedAt() < pauseEnd;
        return paused ? Math.max(claiming.deadline(), pauseEnd + 2 * policy.maxReclaimMillis()) : claiming.deadline();
    }

    private static boolean arePlacesFree(CellState after, Phase.Claiming claiming) {
        for (Member member : claiming.attempt().members()) {
            TargetState target = after.fleet().target(member.target());
            if (target.capacity() - target.load().used() < member.units()) {
                return false;
            }
        }
        return true;
    }

    private void checkCommand(CellState before, CellState after, Command command, long now) {
        switch (command) {
            case Command.Start start -> checkStart(after, start, now);
            case Command.Answer answer -> checkAnswer(answer);
            case Command.RecordVoid recordVoid -> ledger.forget(recordVoid.attempt());
            case Command.Reserve reserve -> {}
            case Command.Release release -> {}
            case Command.RecordIntent recordIntent -> {}
            case Command.Treat treat -> {}
            case Command.Resume resume ->
                require(
                        Invariant.PERMIT,
                        after.active().inService(after.dataCentre()),
                        () -> "resumed " + resume.request() + " out of service");
            case Command.HandOver handOver ->
                require(
                        Invariant.BOOKKEEPING,
                        !ledger.anyMayHaveRun(handOver.request().id())
                                || handOver.request().profile().idempotent(),
                        () -> "handed over after a start: " + handOver.request().id());
        }
    }

    private void checkStart(CellState after, Command.Start start, long now) {
        String id = start.request().id();
        Attempt attempt = start.attempt();
        Profile profile = start.request().profile();
        require(
                Invariant.PERMIT,
                after.active().inService(after.dataCentre())
                        && now < attempt.startBefore()
                        && attempt.startBefore() <= after.gate().permitUntil(),
                () -> id + " started at " + now + " with startBefore=" + attempt.startBefore() + " permit until "
                        + after.gate().permitUntil());
        TargetState target = after.fleet().target(start.member().target());
        require(
                Invariant.LEAVING,
                target != null && target.isUsable(),
                () -> id + " started on " + start.member().target() + ", which is leaving or lost");
        if (profile.runsAsGang()) {
            require(
                    Invariant.GANG_WHOLE,
                    ledger.reservationsOf(attempt.number()) == attempt.members().size(),
                    () -> id + " started with " + ledger.reservationsOf(attempt.number()) + " of "
                            + attempt.members().size() + " places reserved");
        }
        if (!profile.idempotent()) {
            require(
                    Invariant.AT_MOST_ONCE,
                    !ledger.otherMayHaveRun(id, attempt.number()),
                    () -> id + " started again as attempt " + attempt.number());
            require(
                    Invariant.AT_MOST_ONCE,
                    ledger.isIntended(attempt.number()),
                    () -> id + " started without an intent on the log");
        }
        ledger.recordStart(id, attempt.number(), start.member().index());
    }

    private void checkAnswer(Command.Answer answer) {
        String id = answer.request().id();
        if (answer.outcome() instanceof Outcome.NotRun) {
            require(Invariant.NOT_RUN_TRUE, !ledger.anyMayHaveRun(id), () -> id + " answered as not run after a start");
        }
        require(Invariant.ONE_ANSWER, ledger.recordAnswer(id), () -> id + " answered twice");
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
                require(
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
        found.clear();
        Map<String, Integer> used = new HashMap<>();
        Map<String, Integer> claimed = new HashMap<>();
        Map<String, Integer> units = new HashMap<>();
        int queued = 0;
        for (Job job : state.workload().jobs().values()) {
            addUnits(job, used, claimed, units);
            boolean waiting = job.phase() instanceof Phase.Queued;
            queued += waiting
                            && state.workload()
                                    .queues()
                                    .hasWaiting(job.account(), job.profile().name())
                    ? 1
                    : 0;
            checkJob(state, job, now);
        }
        int expected = queued;
        require(
                Invariant.BOOKKEEPING,
                state.workload().queues().size() <= expected,
                () -> "queues hold " + state.workload().queues().size() + " but " + expected + " wait");
        for (TargetState target : state.fleet().targets().values()) {
            int uses = used.getOrDefault(target.id(), 0);
            int claims = claimed.getOrDefault(target.id(), 0);
            require(
                    Invariant.BOOKKEEPING,
                    target.load().used() == uses && target.load().claimed() == claims,
                    () -> target.id() + " counts " + target.load() + " but jobs hold " + uses + " and claim " + claims);
            checkTarget(state, target, now);
        }
        units.forEach((account, sum) -> require(
                Invariant.BOOKKEEPING,
                state.workload().unitsByAccount().getOrDefault(account, 0).equals(sum),
                () -> account + " counts " + state.workload().unitsByAccount().get(account) + " but holds " + sum));
        return List.copyOf(found);
    }

    private static void addUnits(
            Job job, Map<String, Integer> used, Map<String, Integer> claimed, Map<String, Integer> units) {
        switch (job.phase()) {
            case Phase.Claiming claiming ->
                claiming.attempt().members().forEach(m -> claimed.merge(m.target(), m.units(), Integer::sum));
            case Phase.Reserving reserving -> addOccupied(job, reserving.attempt(), used, units);
            case Phase.Committing committing -> addOccupied(job, committing.attempt(), used, units);
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

    private static void addOccupied(Job job, Attempt attempt, Map<String, Integer> used, Map<String, Integer> units) {
        for (Member member : attempt.members()) {
            used.merge(member.target(), member.units(), Integer::sum);
            units.merge(job.account(), member.units(), Integer::sum);
        }
    }

    /** A description of a violation, evaluated only if the condition does not hold. */
    private interface Detail {
        String text();
    }

    private void require(Invariant invariant, boolean holds, Detail detail) {
        checks++;
        if (!holds) {
            found.add(new Violation(invariant, detail.text()));
        }
    }
}
