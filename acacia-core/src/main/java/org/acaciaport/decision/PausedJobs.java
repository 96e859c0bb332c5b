package org.acaciaport.decision;

import java.util.Optional;
import org.acaciaport.config.Treatment;
import org.acaciaport.request.Outcome;
import org.pcollections.HashTreePMap;

/**
 * Handles work that is paused on its target. Work that may run again is not left paused for long.
 *
 * <p>Confined to one decision. Paused work has exactly one member.
 */
final class PausedJobs {
    private static final String PART = "resume";

    private final Draft draft;

    PausedJobs(Draft draft) {
        this.draft = draft;
    }

    /** Resumes the work if its target has the accelerators free and the data centre is in service. */
    void resume(Job job) {
        if (job == null || !(job.phase() instanceof Phase.Paused paused)) {
            return;
        }
        Member only = paused.attempt().members().getFirst();
        TargetState target = draft.fleet().target(only.target());
        boolean may = draft.rules().mayStart(draft.state(), draft.gate(), draft.now());
        if (!may || !draft.rules().acceptsWork(target) || target.free() < only.units()) {
            return;
        }
        draft.removePaused(job, only.target());
        draft.occupy(job, paused.attempt());
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

    /** Ends paused work whose caller wants it no more. */
    void cancel(Job job, Phase.Paused paused) {
        Member only = paused.attempt().members().getFirst();
        draft.removePaused(job, only.target());
        stop(job, paused, only);
        draft.finish(job, new Outcome.Cancelled(true));
    }

    /** Takes paused work off its target, which is gone or going. */
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
