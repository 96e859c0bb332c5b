package org.acaciaport.decision;

import java.util.Optional;
import org.acaciaport.config.Treatment;

/**
 * Takes running work off its targets: checkpoint, then throttle, then stop, each with a deadline.
 *
 * <p>Confined to one decision.
 */
final class Revoker {
    private static final String PART = "revoke";

    private final Draft draft;

    Revoker(Draft draft) {
        this.draft = draft;
    }

    /** Takes work off for {@code claimant} wherever its promised accelerators are not yet free. */
    void preemptFor(Job claimant, Attempt attempt, boolean drain) {
        if (!draft.rules().preemptionEnabled()) {
            return;
        }
        for (Member member : attempt.members()) {
            TargetState target = draft.fleet().target(member.target());
            for (Job victim : Victims.select(draft, target, claimant, drain)) {
                takeOff(victim, "accelerators claimed by request " + claimant.id());
            }
        }
    }

    private void takeOff(Job victim, String reason) {
        if (victim.phase() instanceof Phase.Running) {
            revoke(victim, Revocation.Cause.RECLAIM, reason);
        } else {
            new Starter(draft).withdraw(victim, reason);
        }
    }

    /** Begins with the first treatment that the profile allows. */
    void revoke(Job job, Revocation.Cause cause, String reason) {
        begin(job, cause, next(job, Optional.empty()).orElse(Treatment.STOP), reason);
    }

    /** Stops the work at once. */
    void stop(Job job, Revocation.Cause cause, String reason) {
        begin(job, cause, Treatment.STOP, reason);
    }

    /** Goes on to the next treatment once the present one has passed its deadline. */
    void escalate(Job job, Phase.Running running) {
        Revocation revocation = running.revocation().orElseThrow();
        if (draft.now() < revocation.deadline()) {
            return;
        }
        Optional<Treatment> next = next(job, Optional.of(revocation.treatment()));
        if (next.isEmpty()) {
            loseRest(job, running);
            return;
        }
        treat(
                job,
                running,
                new Revocation(revocation.cause(), next.get(), deadline(running, next.get()), revocation.reason()));
    }

    private void begin(Job job, Revocation.Cause cause, Treatment stage, String reason) {
        Phase.Running running = (Phase.Running) job.phase();
        if (running.revocation().isEmpty()) {
            for (Member member : running.attempt().members()) {
                if (running.members().get(member.index()).occupiesAccelerators()) {
                    draft.changeTarget(member.target(), t -> t.with(t.load().withRevoking(member.units())));
                }
            }
        }
        draft.note(PART, job, "treatment=" + stage + " why=" + reason);
        treat(job, running, new Revocation(cause, stage, deadline(running, stage), reason));
    }

    private void treat(Job job, Phase.Running running, Revocation revocation) {
        draft.put(job.with(running.with(revocation)));
        draft.addTimer(
                revocation.deadline(),
                Timer.Kind.TREATMENT_TIMEOUT,
                job.id(),
                running.attempt().number());
        for (Member member : running.attempt().members()) {
            if (running.members().get(member.index()).occupiesAccelerators()) {
                draft.addCommand(new Command.Treat(
                        job.id(), running.attempt().number(), member, revocation.treatment(), revocation.deadline()));
            }
        }
    }

    /** A target that neither confirms a stop nor reports in time no longer renews the member's lease. */
    private void loseRest(Job job, Phase.Running running) {
        RunTracker tracker = new RunTracker(draft);
        for (Member member : running.attempt().members()) {
            if (running.members().get(member.index()).occupiesAccelerators()) {
                tracker.handleMemberChange(
                        job.id(), running.attempt().number(), member.index(), MemberState.of(MemberState.Status.LOST));
            }
        }
    }

    /** A paused member keeps its memory, so only a single member is paused, and one at a time on a target. */
    private Optional<Treatment> next(Job job, Optional<Treatment> previous) {
        Optional<Treatment> next = job.profile().treatmentAfter(previous);
        boolean passedOver = next.isPresent() && next.get() == Treatment.THROTTLE && !mayThrottle(job);
        return passedOver ? job.profile().treatmentAfter(next) : next;
    }

    private boolean mayThrottle(Job job) {
        Attempt attempt = job.phase().currentAttempt().orElseThrow();
        Member only = attempt.members().getFirst();
        return attempt.members().size() == 1
                && draft.fleet().target(only.target()).load().paused().isEmpty();
    }

    /** A start under way may overtake a stop, so a stop is given until the start deadline has passed as well. */
    private long deadline(Phase.Running running, Treatment treatment) {
        boolean starting = running.members().values().stream().anyMatch(m -> m.status() == MemberState.Status.STARTING);
        return switch (treatment) {
            case CHECKPOINT -> draft.now() + draft.policy().checkpointTimeoutMillis();
            case THROTTLE -> draft.now() + draft.policy().throttleTimeoutMillis();
            case STOP ->
                draft.policy().stopTimeoutMillis()
                        + (starting ? Math.max(draft.now(), running.attempt().startBefore()) : draft.now());
        };
    }
}
