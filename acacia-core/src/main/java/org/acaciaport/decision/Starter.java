package org.acaciaport.decision;

import java.util.Optional;
import org.acaciaport.config.SliceAssignment;
import org.acaciaport.request.Outcome;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/**
 * Starts the attempt of a placed job in up to three steps: reserve a place on every target, record the intent on the
 * log, and start every member. Starts are sent for all members or for none.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Starter {
    private static final String PART = "start";

    private final Draft draft;

    Starter(Draft draft) {
        this.draft = draft;
    }

    /** Occupies the places of {@code attempt} and begins the first step that the profile of {@code job} requires. */
    void begin(Job job, Attempt attempt) {
        draft.dequeue(job);
        draft.targets().occupy(job, attempt);
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

    /** Handles the answer of one target to a reservation; goes on once every target has granted its own. */
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

    /** Starts the members once the intent is recorded; abandons the attempt if it is not or the job was cancelled. */
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

    /**
     * Handles a step of {@code attempt} that took too long: abandons an attempt whose reservations are incomplete,
     * marks members as lost whose start was never confirmed, and evicts a paused job that may be restarted.
     */
    void handleTimeout(Job job, long attempt) {
        switch (job.phase()) {
            case Phase.Reserving reserving -> {
                if (reserving.attempt().number() == attempt) {
                    abandon(job, reserving.attempt(), "a target did not answer in time");
                }
            }
            case Phase.Running running -> {
                long confirmBy =
                        running.attempt().startBefore() + draft.policy().stopTimeoutMillis();
                if (running.attempt().number() == attempt && draft.now() >= confirmBy) {
                    markUnconfirmedLost(job, running);
                }
            }
            case Phase.Queued queued -> {}
            case Phase.Claiming claiming -> {}
            case Phase.Committing committing -> {}
            case Phase.Paused paused -> {
                boolean timedOut = paused.attempt().number() == attempt && draft.now() >= paused.requeueAt();
                if (timedOut && draft.rules().mayRunAgain(job)) {
                    new PausedJobs(draft).evict(job, paused, "paused for too long");
                }
            }
            case Phase.HandingOver handingOver -> {}
        }
    }

    /**
     * Releases the places of an attempt of which no start was sent; queues the job again with backoff, unless
     * cancelled.
     */
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

    /** Releases the places of an attempt of which no start was sent. */
    void releasePlaces(Job job, Attempt attempt) {
        for (Member member : attempt.members()) {
            draft.addCommand(new Command.Release(job.id(), attempt.number(), member));
            draft.targets().vacate(job, member, false);
        }
    }

    /** Abandons the attempt of {@code job} if no start was sent yet; voids an intent that may be on the log. */
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

    /** Records the intent if the profile requires one; otherwise starts the members at once. */
    private void commit(Job job, Attempt attempt) {
        if (!draft.rules().requiresIntent(job.profile())) {
            start(job, attempt, false);
            return;
        }
        draft.put(job.with(new Phase.Committing(attempt)));
        draft.addCommand(new Command.RecordIntent(job.request(), attempt));
    }

    /** Sends the starts of all members, or abandons the attempt if it may no longer start. */
    private void start(Job job, Attempt attempt, boolean intentRecorded) {
        String obstacle = startObstacle(attempt);
        if (obstacle != null) {
            if (intentRecorded) {
                draft.addCommand(new Command.RecordVoid(job.id(), attempt.number(), false));
            }
            abandon(job, attempt, obstacle);
            return;
        }
        long windowEnd = draft.now() + draft.policy().startWindowMillis();
        Attempt timed = attempt.withStartBefore(Math.min(windowEnd, draft.gate().permitUntil()));
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
                draft.retryBudget(job.profile().name()).deposit(draft.policy().retryPercent()));
        track(job, timed);
    }

    /** Returns why {@code attempt} may no longer start, or null if it may. */
    private String startObstacle(Attempt attempt) {
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

    /** Sets {@code job} to running with every member starting, and sets the timers of the run. */
    private void track(Job job, Attempt attempt) {
        PMap<Integer, MemberState> members = HashTreePMap.empty();
        for (Member member : attempt.members()) {
            members = members.plus(member.index(), MemberState.of(MemberState.Status.STARTING));
        }
        long runDeadline = draft.now() + job.profile().runLimitMillis();
        draft.put(job.with(new Phase.Running(attempt, members, draft.now(), runDeadline, Optional.empty())));
        draft.addTimer(runDeadline, Timer.Kind.RUN_DEADLINE, job.id(), attempt.number());
        long confirmBy = draft.now()
                + draft.policy().startWindowMillis()
                + draft.policy().stopTimeoutMillis();
        draft.addTimer(confirmBy, Timer.Kind.STEP_TIMEOUT, job.id(), attempt.number());
    }

    /** Tracks an attempt whose starts an earlier leader may have sent, until its targets report on the members. */
    void resumeTracking(Job job, Attempt attempt) {
        draft.put(job);
        draft.targets().occupy(job, attempt);
        track(job, attempt);
        boolean overcommitted = attempt.members().stream()
                .anyMatch(m -> isOvercommitted(draft.fleet().target(m.target())));
        if (overcommitted) {
            new Membership(draft).reassignGuarantees();
        }
    }

    /** Returns whether guarantees and irrevocable work together exceed the accelerators of {@code target}. */
    private static boolean isOvercommitted(TargetState target) {
        return SliceAssignment.committedUnits(target.owned(), target.load().irrevocableByAccount()) > target.capacity();
    }

    private void markUnconfirmedLost(Job job, Phase.Running running) {
        RunTracker tracker = new RunTracker(draft);
        for (Member member : running.attempt().members()) {
            if (running.members().get(member.index()).status() == MemberState.Status.STARTING) {
                tracker.handleMemberChange(
                        job.id(), running.attempt().number(), member.index(), MemberState.of(MemberState.Status.LOST));
            }
        }
    }
}
