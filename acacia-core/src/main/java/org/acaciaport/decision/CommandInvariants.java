package org.acaciaport.decision;

import org.acaciaport.config.Profile;
import org.acaciaport.decision.Violation.Invariant;
import org.acaciaport.request.Outcome;

/**
 * Checks commands against what earlier events and commands allow: permits, reservations, intents, starts and answers.
 *
 * <p>Must see every event and command, in order. Not thread-safe.
 */
final class CommandInvariants {
    private final StartLedger ledger = new StartLedger();
    private final ViolationCollector violations;

    CommandInvariants(ViolationCollector violations) {
        this.violations = violations;
    }

    /** Records what {@code event} tells about reservations, intents and starts. */
    void record(Event event) {
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

    /** Checks {@code command}, which a decision with the state {@code after} returned. */
    void check(CellState after, Command command, long now) {
        switch (command) {
            case Command.Start start -> checkStart(after, start, now);
            case Command.Answer answer -> checkAnswer(answer);
            case Command.RecordVoid recordVoid -> ledger.forget(recordVoid.attempt());
            case Command.Reserve reserve -> {}
            case Command.Release release -> {}
            case Command.RecordIntent recordIntent -> {}
            case Command.Treat treat -> {}
            case Command.Resume resume ->
                violations.require(
                        Invariant.PERMIT,
                        after.active().inService(after.dataCentre()),
                        () -> "resumed " + resume.request() + " out of service");
            case Command.HandOver handOver ->
                violations.require(
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
        violations.require(
                Invariant.PERMIT,
                after.active().inService(after.dataCentre())
                        && now < attempt.startBefore()
                        && attempt.startBefore() <= after.gate().permitUntil(),
                () -> id + " started at " + now + " with startBefore=" + attempt.startBefore() + " permit until "
                        + after.gate().permitUntil());
        TargetState target = after.fleet().target(start.member().target());
        violations.require(
                Invariant.LEAVING,
                target != null && target.isUsable(),
                () -> id + " started on " + start.member().target() + ", which is leaving or lost");
        if (profile.runsAsGang()) {
            violations.require(
                    Invariant.GANG_WHOLE,
                    ledger.reservationsOf(attempt.number()) == attempt.members().size(),
                    () -> id + " started with " + ledger.reservationsOf(attempt.number()) + " of "
                            + attempt.members().size() + " places reserved");
        }
        if (!profile.idempotent()) {
            violations.require(
                    Invariant.AT_MOST_ONCE,
                    !ledger.otherMayHaveRun(id, attempt.number()),
                    () -> id + " started again as attempt " + attempt.number());
            violations.require(
                    Invariant.AT_MOST_ONCE,
                    ledger.isIntended(attempt.number()),
                    () -> id + " started without an intent on the log");
        }
        ledger.recordStart(id, attempt.number(), start.member().index());
    }

    private void checkAnswer(Command.Answer answer) {
        String id = answer.request().id();
        if (answer.outcome() instanceof Outcome.NotRun) {
            violations.require(
                    Invariant.NOT_RUN_TRUE, !ledger.anyMayHaveRun(id), () -> id + " answered as not run after a start");
        }
        violations.require(Invariant.ONE_ANSWER, ledger.recordAnswer(id), () -> id + " answered twice");
    }
}
