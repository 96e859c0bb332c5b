package org.acaciaport.decision;

import java.util.Optional;
import org.acaciaport.config.Shares;
import org.acaciaport.request.Outcome;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/**
 * Takes a placed job to its start: hold every place, record the intent, start every member. All members start or none.
 *
 * <p>Confined to one decision.
 */
final class Starter {
    private static final String PART = "start";

    private final Draft draft;

    Starter(Draft draft) {
        this.draft = draft;
    }

    /** Occupies the places of {@code attempt} and takes the first step. */
    void begin(Job job, Attempt attempt) {
        draft.dequeue(job);
        draft.occupy(job, attempt);
        if (!draft.rules().requiresReservation(job.profile())) {
            commit(job, attempt);
            return;
        }
        long deadline = draft.now() + draft.policy().reserveTimeoutMillis();
        draft.put(job.with(new Phase.Reserving(attempt, HashTreePSet.empty())));
        draft.addTimer(deadline, Timer.Kind.STEP_TIMEOUT, job.id(), attempt.number());
        for (Member member : attempt.members()) {
            draft.addCommand(new Command.Reserve(job.id(), attempt.number(), member, deadline));
        }
    }

    void handleReserveAnswer(Event.ReserveAnswered answer) {
        Job job = draft.job(answer.request());
        if (job == null
                || !(job.phase() instanceof Phase.Reserving reserving)
                || reserving.attempt().number() != answer.attempt()) {
            draft.note(PART, "dropped a late answer to a reservation, request=" + answer.request());
            return;
        }
        if (!answer.granted()) {
            String target = reserving.attempt().members().get(answer.member()).target();
            abandon(job.withRefusalBy(target), reserving.attempt(), "target " + target + " refused to hold a place");
            return;
        }
        Phase.Reserving next =
                new Phase.Reserving(reserving.attempt(), reserving.granted().plus(answer.member()));
        if (next.granted().size() == next.attempt().members().size()) {
            commit(job, next.attempt());
        } else {
            draft.put(job.with(next));
        }
    }

    void handleIntentAnswer(Event.IntentAnswered answer) {
        Job job = draft.job(answer.request());
        if (job == null
                || !(job.phase() instanceof Phase.Committing committing)
                || committing.attempt().number() != answer.attempt()) {
            return;
        }
        if (answer.recorded() && !job.cancelRequested()) {
            start(job, committing.attempt(), true);
            return;
        }
        if (answer.recorded()) {
            draft.addCommand(new Command.RecordVoid(job.id(), answer.attempt(), false));
        }
        abandon(job, committing.attempt(), job.cancelRequested() ? "cancelled" : "the log did not record the intent");
    }

    /** Handles a step that took too long. */
    void handleTimeout(Job job, long attempt) {
        switch (job.phase()) {
            case Phase.Reserving reserving -> {
                if (reserving.attempt().number() == attempt) {
                    abandon(job, reserving.attempt(), "a target did not answer in time");
                }
            }
            case Phase.Running running -> {
                long silentAt = running.attempt().startBefore() + draft.policy().stopTimeoutMillis();
                if (running.attempt().number() == attempt && draft.now() >= silentAt) {
                    loseSilent(job, running);
                }
            }
            case Phase.Queued queued -> {}
            case Phase.Claiming claiming -> {}
            case Phase.Committing committing -> {}
            case Phase.Paused paused -> {
                boolean late = paused.attempt().number() == attempt && draft.now() >= paused.requeueAt();
                if (late && draft.rules().mayRunAgain(job)) {
                    new PausedJobs(draft).evict(job, paused, "paused for too long");
                }
            }
            case Phase.HandingOver handingOver -> {}
        }
    }

    /** Gives the places back and queues the job again; no member was told to start. */
    void abandon(Job job, Attempt attempt, String why) {
        draft.note(PART, job, "gave up attempt=" + attempt.number() + " why=" + why);
        releasePlaces(job, attempt);
        if (job.cancelRequested()) {
            draft.finish(job, new Outcome.Cancelled(job.mayHaveRun()));
        } else {
            Job refused = job.withAbortedStart();
            draft.defer(refused, draft.now() + draft.policy().retryDelayMillis(refused.abortedStarts()));
        }
    }

    /** Gives the places of an attempt back that was not started. */
    void releasePlaces(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            draft.addCommand(new Command.Release(job.id(), attempt.number(), member));
            draft.vacate(job, member, false);
        }
    }

    /** Gives up a job that holds places but was not told to start. */
    void withdraw(Job job, String why) {
        if (job.phase() instanceof Phase.Reserving reserving) {
            abandon(job, reserving.attempt(), why);
        }
        if (job.phase() instanceof Phase.Committing committing) {
            draft.addCommand(
                    new Command.RecordVoid(job.id(), committing.attempt().number(), false));
            abandon(job, committing.attempt(), why);
        }
    }

    private void commit(Job job, Attempt attempt) {
        if (!draft.rules().requiresIntent(job.profile())) {
            start(job, attempt, false);
            return;
        }
        draft.put(job.with(new Phase.Committing(attempt)));
        draft.addCommand(new Command.RecordIntent(job.request(), attempt));
    }

    private void start(Job job, Attempt attempt, boolean intended) {
        String barred = barred(attempt);
        if (barred != null) {
            if (intended) {
                draft.addCommand(new Command.RecordVoid(job.id(), attempt.number(), false));
            }
            abandon(job, attempt, barred);
            return;
        }
        long window = draft.now() + draft.policy().startWindowMillis();
        Attempt timed = attempt.withStartBefore(Math.min(window, draft.gate().permitUntil()));
        PMap<Integer, MemberState> members = HashTreePMap.empty();
        for (Member member : timed.members()) {
            members = members.plus(member.index(), MemberState.of(MemberState.Status.STARTING));
            draft.addCommand(new Command.Start(job.request(), timed, member, job.checkpointed()));
        }
        long runDeadline = draft.now() + job.profile().runLimitMillis();
        draft.put(job.with(new Phase.Running(timed, members, draft.now(), runDeadline, java.util.Optional.empty())));
        draft.setGate(draft.gate().withStart(draft.now()));
        draft.setRetryBudget(
                job.profile().name(),
                draft.retryBudget(job.profile().name()).earn(draft.policy().retryPercent()));
        follow(job, timed);
    }

    /** Returns why the attempt must not start any more, or null. */
    private String barred(Attempt attempt) {
        if (!draft.rules().mayStart(draft.state(), draft.gate(), draft.now())) {
            return "the permit to start lapsed";
        }
        for (Member member : attempt.members()) {
            TargetState target = draft.fleet().target(member.target());
            if (!draft.rules().mayStartOn(target)) {
                return "target " + member.target() + " is out of use";
            }
        }
        return null;
    }

    private void follow(Job job, Attempt attempt) {
        PMap<Integer, MemberState> members = HashTreePMap.empty();
        for (Member member : attempt.members()) {
            members = members.plus(member.index(), MemberState.of(MemberState.Status.STARTING));
        }
        long runDeadline = draft.now() + job.profile().runLimitMillis();
        draft.put(job.with(new Phase.Running(attempt, members, draft.now(), runDeadline, Optional.empty())));
        draft.addTimer(runDeadline, Timer.Kind.RUN_DEADLINE, job.id(), attempt.number());
        long silentAt = draft.now()
                + draft.policy().startWindowMillis()
                + draft.policy().stopTimeoutMillis();
        draft.addTimer(silentAt, Timer.Kind.STEP_TIMEOUT, job.id(), attempt.number());
    }

    /** Follows an attempt whose starts an earlier leader may have sent; its targets say what became of it. */
    void resumeTracking(Job job, Attempt attempt) {
        draft.put(job);
        draft.occupy(job, attempt);
        follow(job, attempt);
        boolean crowded =
                attempt.members().stream().anyMatch(m -> crowded(draft.fleet().target(m.target())));
        if (crowded) {
            new Membership(draft).reassignGuarantees();
        }
    }

    private static boolean crowded(TargetState target) {
        return Shares.committed(target.owned(), target.load().irrevocableByAccount()) > target.capacity();
    }

    private void loseSilent(Job job, Phase.Running running) {
        RunTracker tracker = new RunTracker(draft);
        for (Member member : running.attempt().members()) {
            if (running.members().get(member.index()).status() == MemberState.Status.STARTING) {
                tracker.handleMemberChange(
                        job.id(), running.attempt().number(), member.index(), MemberState.of(MemberState.Status.LOST));
            }
        }
    }
}
