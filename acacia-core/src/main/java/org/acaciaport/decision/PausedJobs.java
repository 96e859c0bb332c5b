package org.acaciaport.decision;

import java.util.Optional;
import org.acaciaport.config.Treatment;
import org.acaciaport.request.Outcome;
import org.pcollections.HashTreePMap;

/**
 * Resumes, cancels and evicts jobs that are paused on their targets.
 *
 * <p>A job that may be restarted is evicted and queued again after {@link Policy#starvationMillis}, since it may run
 * sooner elsewhere. A paused job has exactly one member.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class PausedJobs {
    private static final String PART = "resume";

    private final Draft draft;

    PausedJobs(Draft draft) {
        this.draft = draft;
    }

    /** Resumes {@code job} if work may start now and its accelerators are free again; otherwise leaves it paused. */
    void resume(Job job) {
        if (job == null || !(job.phase() instanceof Phase.Paused paused)) {
            return;
        }
        Member only = paused.attempt().members().getFirst();
        TargetState target = draft.fleet().target(only.target());
        boolean mayStart = draft.rules().mayStart(draft.state(), draft.gate(), draft.now());
        if (!mayStart || !draft.rules().acceptsWork(target) || target.free() < only.units()) {
            return;
        }
        draft.removePaused(job, only.target());
        draft.targets().occupy(job, paused.attempt());
        long runDeadline = draft.now() + paused.remainingMillis();
        draft.put(job.with(new Phase.Running(
                paused.attempt(),
                HashTreePMap.singleton(0, MemberState.of(MemberState.Status.RUNNING)),
                draft.now(),
                runDeadline,
                Optional.empty())));
        draft.addTimer(
                runDeadline, Timer.Kind.RUN_DEADLINE, job.id(), paused.attempt().number());
        draft.addCommand(new Command.Resume(job.id(), paused.attempt().number(), only));
        draft.note(PART, job, "target=" + only.target());
    }

    /** Stops a paused job that the caller has cancelled, and answers it. */
    void cancel(Job job, Phase.Paused paused) {
        Member only = paused.attempt().members().getFirst();
        draft.removePaused(job, only.target());
        stop(job, paused, only);
        draft.finish(job, new Outcome.Cancelled(true));
    }

    /**
     * Removes a paused job from its target. Stops and requeues it if it may be restarted; otherwise answers it with an
     * unknown outcome.
     *
     * @param why the cause, as shown to the caller
     */
    void evict(Job job, Phase.Paused paused, String why) {
        Member only = paused.attempt().members().getFirst();
        draft.removePaused(job, only.target());
        if (draft.rules().mayRunAgain(job)) {
            stop(job, paused, only);
            draft.enqueue(job);
        } else {
            draft.finish(job, new Outcome.Unknown("paused work ended: " + why));
        }
    }

    private void stop(Job job, Phase.Paused paused, Member only) {
        long deadline = draft.now() + draft.policy().stopTimeoutMillis();
        draft.addCommand(new Command.Treat(job.id(), paused.attempt().number(), only, Treatment.STOP, deadline));
    }
}
