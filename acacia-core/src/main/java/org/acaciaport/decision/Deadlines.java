package org.acaciaport.decision;

import org.acaciaport.request.Outcome;

/**
 * Acts on timers that are due and on cancellations.
 *
 * <p>Confined to one decision.
 */
final class Deadlines {
    private static final String PART = "deadline";

    private final Draft draft;

    Deadlines(Draft draft) {
        this.draft = draft;
    }

    /** Handles every timer that is due. */
    void runDueTimers() {
        for (Timer timer = draft.takeDueTimer(); timer != null; timer = draft.takeDueTimer()) {
            due(timer);
        }
    }

    private void due(Timer timer) {
        if (timer.kind() == Timer.Kind.PROBE) {
            new Probation(draft).allowProbe(timer.subject());
            return;
        }
        if (timer.kind() == Timer.Kind.RAMP_UP) {
            draft.requestDispatch();
            return;
        }
        Job job = draft.job(timer.subject());
        if (job == null) {
            return;
        }
        switch (timer.kind()) {
            case QUEUE_DEADLINE -> queueDeadline(job);
            case RETRY -> retry(job);
            case STARVATION -> draft.requestDispatch();
            case STEP_TIMEOUT -> new Starter(draft).handleTimeout(job, timer.attempt());
            case RUN_DEADLINE -> runDeadline(job, timer.attempt());
            case TREATMENT_TIMEOUT -> revocationDeadline(job, timer.attempt());
            case PROBE, RAMP_UP -> {}
        }
    }

    private void retry(Job job) {
        if (job.phase() instanceof Phase.Queued queued && queued.eligibleAt() <= draft.now()) {
            draft.enqueue(job);
        }
    }

    private void queueDeadline(Job job) {
        if (job.startStatus() == Job.StartStatus.STARTED) {
            return;
        }
        Outcome notRun = expired(job);
        switch (job.phase()) {
            case Phase.Queued queued -> draft.finish(job, notRun);
            case Phase.Claiming claiming -> {
                new Claims(draft).release(job, claiming);
                draft.finish(job, notRun);
            }
            case Phase.Reserving reserving -> again(job);
            case Phase.Committing committing -> {
                draft.addCommand(
                        new Command.RecordVoid(job.id(), committing.attempt().number(), false));
                new Starter(draft).releasePlaces(job, committing.attempt());
                draft.finish(job, notRun);
            }
            case Phase.Running running -> again(job);
            case Phase.HandingOver handingOver -> again(job);
            case Phase.Paused paused -> {}
        }
    }

    private Outcome expired(Job job) {
        if (!draft.rules().neverStarted(job)) {
            return new Outcome.Unknown("its queue deadline passed, and an earlier scheduler may have started it");
        }
        return new Outcome.NotRun("its queue deadline passed"
                + (draft.gate().logAvailable()
                        ? "; submit it again with a longer queue limit"
                        : " while the platform log was unavailable; submit it again later"));
    }

    private void again(Job job) {
        draft.addTimer(draft.now() + draft.policy().reserveTimeoutMillis(), Timer.Kind.QUEUE_DEADLINE, job.id(), 0);
    }

    private void runDeadline(Job job, long attempt) {
        if (job.phase() instanceof Phase.Running running
                && running.attempt().number() == attempt
                && running.revocation().isEmpty()
                && running.runDeadline() <= draft.now()) {
            new Revoker(draft).stop(job, Revocation.Cause.RUN_LIMIT, "run limit passed");
        }
    }

    private void revocationDeadline(Job job, long attempt) {
        if (job.phase() instanceof Phase.Running running
                && running.attempt().number() == attempt
                && running.revocation().isPresent()) {
            new Revoker(draft).escalate(job, running);
        }
    }

    /** Ends the job as soon as its present step allows. */
    void cancel(String request) {
        Job job = draft.job(request);
        if (job == null || job.cancelRequested()) {
            return;
        }
        draft.note(PART, job, "cancel asked");
        Job asked = job.withCancelRequested();
        draft.put(asked);
        switch (asked.phase()) {
            case Phase.Queued queued -> draft.finish(asked, new Outcome.Cancelled(asked.mayHaveRun()));
            case Phase.Claiming claiming -> {
                new Claims(draft).release(asked, claiming);
                draft.finish(asked, new Outcome.Cancelled(asked.mayHaveRun()));
            }
            case Phase.Reserving reserving -> new Starter(draft).abandon(asked, reserving.attempt(), "cancelled");
            case Phase.Running running ->
                new Revoker(draft).stop(asked, Revocation.Cause.CANCEL, "cancelled by the caller");
            case Phase.Paused paused -> new PausedJobs(draft).cancel(asked, paused);
            case Phase.Committing committing -> {}
            case Phase.HandingOver handingOver -> {}
        }
    }
}
