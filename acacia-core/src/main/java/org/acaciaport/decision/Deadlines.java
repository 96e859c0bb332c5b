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
        if (timer.kind() == Timer.Kind.RAMP) {
            draft.wantDispatch();
            return;
        }
        Job job = draft.job(timer.subject());
        if (job == null) {
            return;
        }
        switch (timer.kind()) {
            case QUEUE -> queueDeadline(job);
            case RETRY -> retry(job);
            case PATIENCE -> draft.wantDispatch();
            case STEP -> new Starter(draft).handleTimeout(job, timer.attempt());
            case RUN -> runDeadline(job, timer.attempt());
            case REVOCATION -> revocationDeadline(job, timer.attempt());
            case PROBE, RAMP -> {}
        }
    }

    private void retry(Job job) {
        if (job.phase() instanceof Phase.Queued queued && queued.eligibleAt() <= draft.now()) {
            draft.enqueue(job);
        }
    }

    private void queueDeadline(Job job) {
        if (job.started() == Job.Started.YES) {
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
                draft.command(
                        new Command.RecordVoid(job.id(), committing.attempt().number(), false));
                new Starter(draft).releasePlaces(job, committing.attempt());
                draft.finish(job, notRun);
            }
            case Phase.Running running -> again(job);
            case Phase.HandingOver handingOver -> again(job);
            case Phase.Parked parked -> {}
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
        draft.timer(draft.now() + draft.policy().reserveMillis(), Timer.Kind.QUEUE, job.id(), 0);
    }

    private void runDeadline(Job job, long attempt) {
        if (job.phase() instanceof Phase.Running running
                && running.attempt().number() == attempt
                && running.revocation().isEmpty()
                && running.runDeadline() <= draft.now()) {
            new Revoker(draft).stop(job, Revocation.Purpose.RUN_LIMIT, "run limit passed");
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
        if (job == null || job.cancelAsked()) {
            return;
        }
        draft.note(PART, job, "cancel asked");
        Job asked = job.withCancelAsked();
        draft.put(asked);
        switch (asked.phase()) {
            case Phase.Queued queued -> draft.finish(asked, new Outcome.Cancelled(asked.everStarted()));
            case Phase.Claiming claiming -> {
                new Claims(draft).release(asked, claiming);
                draft.finish(asked, new Outcome.Cancelled(asked.everStarted()));
            }
            case Phase.Reserving reserving -> new Starter(draft).abandon(asked, reserving.attempt(), "cancelled");
            case Phase.Running running ->
                new Revoker(draft).stop(asked, Revocation.Purpose.CANCEL, "cancelled by the caller");
            case Phase.Parked parked -> new PausedJobs(draft).cancel(asked, parked);
            case Phase.Committing committing -> {}
            case Phase.HandingOver handingOver -> {}
        }
    }
}
