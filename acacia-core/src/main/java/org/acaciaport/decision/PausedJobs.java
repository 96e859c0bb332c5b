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
        if (job == null || !(job.phase() instanceof Phase.Parked parked)) {
            return;
        }
        Member only = parked.attempt().members().getFirst();
        TargetState target = draft.fleet().target(only.target());
        boolean may = draft.rules().mayStart(draft.state(), draft.gate(), draft.now());
        if (!may || !draft.rules().acceptsWork(target) || target.free() < only.units()) {
            return;
        }
        draft.unpark(job, only.target());
        draft.occupy(job, parked.attempt());
        long runDeadline = draft.now() + parked.remainingMillis();
        draft.put(job.with(new Phase.Running(
                parked.attempt(),
                HashTreePMap.singleton(0, MemberState.of(MemberState.Status.RUNNING)),
                draft.now(),
                runDeadline,
                Optional.empty())));
        draft.timer(runDeadline, Timer.Kind.RUN, job.id(), parked.attempt().number());
        draft.command(new Command.Resume(job.id(), parked.attempt().number(), only));
        draft.note(PART, job, "target=" + only.target());
    }

    /** Ends paused work whose caller wants it no more. */
    void cancel(Job job, Phase.Parked parked) {
        Member only = parked.attempt().members().getFirst();
        draft.unpark(job, only.target());
        stop(job, parked, only);
        draft.finish(job, new Outcome.Cancelled(true));
    }

    /** Takes paused work off its target, which is gone or going. */
    void evict(Job job, Phase.Parked parked, String why) {
        Member only = parked.attempt().members().getFirst();
        draft.unpark(job, only.target());
        if (draft.rules().mayRunAgain(job)) {
            stop(job, parked, only);
            draft.enqueue(job);
        } else {
            draft.finish(job, new Outcome.Unknown("paused work ended: " + why));
        }
    }

    private void stop(Job job, Phase.Parked parked, Member only) {
        long deadline = draft.now() + draft.policy().stopMillis();
        draft.command(new Command.Treat(job.id(), parked.attempt().number(), only, Treatment.STOP, deadline));
    }
}
