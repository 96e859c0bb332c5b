package org.acaciaport.decision;

import java.util.ArrayList;
import java.util.List;
import org.acaciaport.request.MemberAnswer;
import org.acaciaport.request.Outcome;

/**
 * Tracks the members of started attempts until they end, and then answers, requeues or pauses the job.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class RunTracker {
    private static final String PART = "progress";

    private final Draft draft;

    RunTracker(Draft draft) {
        this.draft = draft;
    }

    /**
     * Applies a change in the state of a member. Ignores changes of members that no longer run.
     *
     * <p>A restarted target does not know what an earlier leader started there. Its report that a member of such an
     * attempt was not started is therefore no proof, and the member counts as lost.
     */
    void handleMemberChange(String request, long attempt, int member, MemberState state) {
        Job job = draft.job(request);
        if (job == null
                || !(job.phase() instanceof Phase.Running running)
                || running.attempt().number() != attempt
                || !running.members().containsKey(member)
                || !running.members().get(member).occupiesAccelerators()) {
            draft.note(PART, "dropped a late or doubled report, request=" + request + " attempt=" + attempt);
            return;
        }
        if (state.status() == MemberState.Status.NOT_STARTED && draft.isFromEarlierLeader(running.attempt())) {
            handleMemberChange(request, attempt, member, MemberState.of(MemberState.Status.LOST));
            return;
        }
        Job changed = state.status() == MemberState.Status.NOT_STARTED ? job : job.withStart();
        Phase.Running next = running.with(member, state);
        Member place = running.attempt().members().get(member);
        changed = changed.with(next);
        draft.put(changed);
        if (state.occupiesAccelerators()) {
            return;
        }
        boolean revoking = running.revocation().isPresent();
        draft.targets().vacate(changed, place, revoking);
        recordTargetHealth(changed, next, place, state);
        changed = draft.job(request);
        if (!next.occupiesAccelerators()) {
            settle(changed, next);
        } else if (!revoking) {
            stopRemainingMembers(changed, state, place);
        }
    }

    /** Records what the end of a member says about the health of its target. */
    private void recordTargetHealth(Job job, Phase.Running running, Member place, MemberState state) {
        Probation probation = new Probation(draft);
        if (state.status() == MemberState.Status.ENDED) {
            draft.addRunTime(job.profile().name(), draft.now() - running.startedAt());
            probation.recordSuccess(place.target());
        }
        if (state.status() == MemberState.Status.FAILED) {
            draft.put(job.withFailure(place.target()));
            probation.recordFailure(place.target(), job);
        }
        if (state.status() == MemberState.Status.NOT_STARTED
                && running.revocation().isEmpty()) {
            draft.put(job.withRefusalBy(place.target()));
            probation.recordFailure(place.target(), job);
        }
    }

    /** Stops the remaining members of a gang once one member is gone without having ended normally. */
    private void stopRemainingMembers(Job job, MemberState state, Member gone) {
        if (!draft.rules().stopsPartialGangs()) {
            return;
        }
        Revoker revoker = new Revoker(draft);
        switch (state.status()) {
            case FAILED ->
                revoker.stop(
                        job,
                        Revocation.Cause.MEMBER_FAILED,
                        "member failed on " + gone.target() + ": " + state.output());
            case NOT_STARTED ->
                revoker.stop(job, Revocation.Cause.MEMBER_REFUSED, gone.target() + " refused to start a member");
            case LOST, STOPPED, CHECKPOINTED, THROTTLED ->
                revoker.stop(job, Revocation.Cause.MEMBER_LOST, "member lost on " + gone.target());
            case STARTING, RUNNING, ENDED -> {}
        }
    }

    /** Answers, requeues or pauses {@code job} once none of its members occupies accelerators. */
    private void settle(Job job, Phase.Running running) {
        if (allAre(running, MemberState.Status.ENDED)) {
            draft.finish(job, new Outcome.Done(collectAnswers(running)));
            return;
        }
        if (allAre(running, MemberState.Status.NOT_STARTED)) {
            settleNotStarted(job, running);
            return;
        }
        Revocation.Cause cause = running.revocation().map(Revocation::cause).orElse(inferCause(running));
        String reason = running.revocation().map(Revocation::reason).orElse("member state " + describeStates(running));
        if (job.cancelRequested()) {
            draft.finish(job, new Outcome.Cancelled(true));
            return;
        }
        if (allAre(running, MemberState.Status.THROTTLED)) {
            pause(job, running);
            return;
        }
        switch (cause) {
            case RECLAIM, OUT_OF_SERVICE -> settleRevoked(job, running, reason);
            case CANCEL -> draft.finish(job, new Outcome.Cancelled(true));
            case RUN_LIMIT ->
                draft.finish(
                        job, new Outcome.Failed("stopped at its run limit; raise run-limit-millis of the profile"));
            case MEMBER_FAILED -> settleFailed(job, reason);
            case MEMBER_REFUSED -> settleRefused(job, reason);
            case MEMBER_LOST -> settleLost(job, reason);
        }
    }

    /** Requeues a job of which no member was started. */
    private void settleNotStarted(Job job, Phase.Running running) {
        if (draft.rules().requiresIntent(job.profile())) {
            draft.addCommand(new Command.RecordVoid(job.id(), running.attempt().number(), false));
        }
        if (job.cancelRequested()) {
            draft.finish(job, new Outcome.Cancelled(job.mayHaveRun()));
            return;
        }
        draft.note(PART, job, "no member was started, queued again");
        draft.defer(job, draft.now() + draft.policy().retryDelayMillis(job.abortedStarts()));
    }

    /** Requeues a preempted or evacuated job if it was checkpointed or may be restarted; answers it otherwise. */
    private void settleRevoked(Job job, Phase.Running running, String reason) {
        if (allAre(running, MemberState.Status.CHECKPOINTED)) {
            if (draft.rules().requiresIntent(job.profile())) {
                draft.addCommand(
                        new Command.RecordVoid(job.id(), running.attempt().number(), true));
            }
            draft.note(PART, job, "checkpointed and queued again");
            draft.enqueue(job.withCheckpoint(true));
            return;
        }
        if (draft.rules().mayRunAgain(job)) {
            draft.note(PART, job, "taken off and queued again");
            draft.enqueue(job);
            return;
        }
        String outcomeReason = "taken off before it could be checkpointed: " + reason;
        draft.finish(
                job,
                anyIs(running, MemberState.Status.LOST)
                        ? new Outcome.Unknown(outcomeReason)
                        : new Outcome.Failed(outcomeReason));
    }

    /** Retries a failed job with backoff while its failure limit and the retry budget of its profile allow it. */
    private void settleFailed(Job job, String reason) {
        String profile = job.profile().name();
        boolean mayRetry = draft.rules().mayRunAgain(job)
                && job.failures() < draft.policy().maxFailedAttempts();
        if (!mayRetry) {
            new Probation(draft).withdrawFailures(job);
            draft.finish(job, new Outcome.Failed(reason));
            return;
        }
        if (!draft.retryBudget(profile).allowsRetry()) {
            draft.finish(
                    job,
                    new Outcome.Failed(reason + "; too many retries of profile " + profile
                            + " at present, submit it again later"));
            return;
        }
        draft.setRetryBudget(profile, draft.retryBudget(profile).withdraw());
        long delay = draft.policy().retryDelayMillis(job.failures());
        draft.note(PART, job, "failed and retried after ms=" + delay + " why=" + reason);
        draft.defer(job, draft.now() + delay);
    }

    private void settleRefused(Job job, String reason) {
        if (draft.rules().mayRunAgain(job) || !job.mayHaveRun()) {
            draft.defer(job, draft.now() + draft.policy().retryDelayMillis(job.abortedStarts()));
        } else {
            draft.finish(job, new Outcome.Failed("stopped because " + reason));
        }
    }

    private void settleLost(Job job, String reason) {
        if (draft.rules().mayRunAgain(job)) {
            draft.note(PART, job, "queued again why=" + reason);
            draft.enqueue(job);
        } else {
            draft.finish(job, new Outcome.Unknown(reason + "; it may have run and is not run again"));
        }
    }

    private void pause(Job job, Phase.Running running) {
        Member only = running.attempt().members().getFirst();
        long remaining = Math.max(0, running.runDeadline() - draft.now());
        long until = draft.now() + draft.policy().starvationMillis();
        draft.put(job.with(new Phase.Paused(running.attempt(), remaining, until)));
        draft.addPaused(job, only.target());
        draft.addTimer(
                until, Timer.Kind.STEP_TIMEOUT, job.id(), running.attempt().number());
        draft.note(PART, job, "paused on target=" + only.target());
    }

    /** Returns the cause that the member states imply, for an attempt that ended without a revocation. */
    private static Revocation.Cause inferCause(Phase.Running running) {
        if (anyIs(running, MemberState.Status.FAILED)) {
            return Revocation.Cause.MEMBER_FAILED;
        }
        return anyIs(running, MemberState.Status.NOT_STARTED)
                        && !anyIs(running, MemberState.Status.LOST)
                        && !anyIs(running, MemberState.Status.STOPPED)
                ? Revocation.Cause.MEMBER_REFUSED
                : Revocation.Cause.MEMBER_LOST;
    }

    private static String describeStates(Phase.Running running) {
        return running.members().values().stream()
                .map(m -> m.status() + (m.output().isEmpty() ? "" : " " + m.output()))
                .distinct()
                .sorted()
                .toList()
                .toString();
    }

    private static List<MemberAnswer> collectAnswers(Phase.Running running) {
        List<MemberAnswer> answers = new ArrayList<>();
        for (Member member : running.attempt().members()) {
            String output = running.members().get(member.index()).output();
            answers.add(new MemberAnswer(member.index(), member.target(), output));
        }
        return answers;
    }

    private static boolean allAre(Phase.Running running, MemberState.Status status) {
        return running.members().values().stream().allMatch(m -> m.status() == status);
    }

    private static boolean anyIs(Phase.Running running, MemberState.Status status) {
        return running.members().values().stream().anyMatch(m -> m.status() == status);
    }
}
