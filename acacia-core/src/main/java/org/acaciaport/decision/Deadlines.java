package org.acaciaport.decision;

import org.acaciaport.request.Outcome;

/**
 * Handles due timers and cancellations of requests.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Deadlines {
    private static final String PART = "deadline";

    private final Draft draft;

    Deadlines(Draft draft) {
        this.draft = draft;
    }

    /** Handles every timer that is due, including those that the handlers set to now or earlier. */
    void runDueTimers() {
        for (Timer timer = draft.takeDueTimer(); timer != null; timer = draft.takeDueTimer()) {
            handle(timer);
        }
    }

    private void handle(Timer timer) {
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
            case QUEUE_DEADLINE -> handleQueueDeadline(job);
            case RETRY -> requeue(job);
            case STARVATION -> draft.requestDispatch();
            case STEP_TIMEOUT -> new Starter(draft).handleTimeout(job, timer.attempt());
            case RUN_DEADLINE -> handleRunDeadline(job, timer.attempt());
            case TREATMENT_TIMEOUT -> handleRevocationDeadline(job, timer.attempt());
            case PROBE, RAMP_UP -> {}
        }
    }

    private void requeue(Job job) {
        if (job.phase() instanceof Phase.Queued queued && queued.eligibleAt() <= draft.now()) {
            draft.enqueue(job);
        }
    }

    /** Ends {@code job}, whose queue deadline has passed, unless it has started. */
    private void handleQueueDeadline(Job job) {
        if (job.startStatus() == Job.StartStatus.STARTED) {
            return;
        }
        Outcome outcome = expiredOutcome(job);
        switch (job.phase()) {
            case Phase.Queued queued -> draft.finish(job, outcome);
            case Phase.Claiming claiming -> {
                new Claims(draft).release(job, claiming);
                draft.finish(job, outcome);
            }
            case Phase.Reserving reserving -> postponeQueueDeadline(job);
            case Phase.Committing committing -> {
                draft.addCommand(
                        new Command.RecordVoid(job.id(), committing.attempt().number(), false));
                new Starter(draft).releasePlaces(job, committing.attempt());
                draft.finish(job, outcome);
            }
            case Phase.Running running -> postponeQueueDeadline(job);
            case Phase.HandingOver handingOver -> postponeQueueDeadline(job);
            case Phase.Paused paused -> {}
        }
    }

    /**
     * Returns the outcome of a job whose queue deadline has passed: unknown if it may have run under another scheduler.
     */
    private Outcome expiredOutcome(Job job) {
        if (!draft.rules().neverStarted(job)) {
            return new Outcome.Unknown("its queue deadline passed, and an earlier scheduler may have started it");
        }
        return new Outcome.NotRun("its queue deadline passed"
                + (draft.gate().logAvailable()
                        ? "; submit it again with a longer queue limit"
                        : " while the platform log was unavailable; submit it again later"));
    }

    /** Checks the queue deadline again later, since the step under way may end with {@code job} queued again. */
    private void postponeQueueDeadline(Job job) {
        draft.addTimer(draft.now() + draft.policy().reserveTimeoutMillis(), Timer.Kind.QUEUE_DEADLINE, job.id(), 0);
    }

    private void handleRunDeadline(Job job, long attempt) {
        if (job.phase() instanceof Phase.Running running
                && running.attempt().number() == attempt
                && running.revocation().isEmpty()
                && running.runDeadline() <= draft.now()) {
            new Revoker(draft).stop(job, Revocation.Cause.RUN_LIMIT, "run limit passed");
        }
    }

    private void handleRevocationDeadline(Job job, long attempt) {
        if (job.phase() instanceof Phase.Running running
                && running.attempt().number() == attempt
                && running.revocation().isPresent()) {
            new Revoker(draft).escalate(job, running);
        }
    }

    /**
     * Cancels {@code request}, at once or as soon as its current phase allows. Does nothing if the request is unknown
     * or already being cancelled.
     */
    void cancel(String request) {
        Job job = draft.job(request);
        if (job == null || job.cancelRequested()) {
            return;
        }
        draft.note(PART, job, "cancel asked");
        Job cancelled = job.withCancelRequested();
        draft.put(cancelled);
        switch (cancelled.phase()) {
            case Phase.Queued queued -> draft.finish(cancelled, new Outcome.Cancelled(cancelled.mayHaveRun()));
            case Phase.Claiming claiming -> {
                new Claims(draft).release(cancelled, claiming);
                draft.finish(cancelled, new Outcome.Cancelled(cancelled.mayHaveRun()));
            }
            case Phase.Reserving reserving -> new Starter(draft).abandon(cancelled, reserving.attempt(), "cancelled");
            case Phase.Running running ->
                new Revoker(draft).stop(cancelled, Revocation.Cause.CANCEL, "cancelled by the caller");
            case Phase.Paused paused -> new PausedJobs(draft).cancel(cancelled, paused);
            case Phase.Committing committing -> {}
            case Phase.HandingOver handingOver -> {}
        }
    }
}
