package org.acaciaport.decision;

import java.util.Optional;
import org.acaciaport.config.Treatment;

/**
 * Revokes running work from its targets by successive treatments: checkpoint, throttle (pause on the target), stop.
 *
 * <p>Revocation omits the treatments that the profile does not allow. Each one has a deadline, after which the next one
 * begins.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Revoker {
    private static final String PART = "revoke";

    private final Draft draft;

    Revoker(Draft draft) {
        this.draft = draft;
    }

    /** Preempts work for {@code claimant} on every target where the accelerators that it claims are not yet free. */
    void preemptFor(Job claimant, Attempt attempt, boolean drain) {
        if (!draft.rules().preemptionEnabled()) {
            return;
        }
        for (Member member : attempt.members()) {
            TargetState target = draft.fleet().target(member.target());
            for (Job victim : Victims.select(draft, target, claimant, drain)) {
                preempt(victim, "accelerators claimed by request " + claimant.id());
            }
        }
    }

    /** Revokes {@code victim} if it runs; withdraws its attempt if no start was sent yet. */
    private void preempt(Job victim, String reason) {
        if (victim.phase() instanceof Phase.Running) {
            revoke(victim, Revocation.Cause.RECLAIM, reason);
        } else {
            new Starter(draft).withdraw(victim, reason);
        }
    }

    /** Begins to revoke {@code job} with the first treatment that its profile allows. */
    void revoke(Job job, Revocation.Cause cause, String reason) {
        begin(job, cause, nextTreatment(job, Optional.empty()).orElse(Treatment.STOP), reason);
    }

    /** Begins to revoke {@code job} with a stop, without the milder treatments. */
    void stop(Job job, Revocation.Cause cause, String reason) {
        begin(job, cause, Treatment.STOP, reason);
    }

    /**
     * Moves on to the next treatment if the current one has passed its deadline; after the last, the members count as
     * lost.
     */
    void escalate(Job job, Phase.Running running) {
        Revocation revocation = running.revocation().orElseThrow();
        if (draft.now() < revocation.deadline()) {
            return;
        }
        Optional<Treatment> next = nextTreatment(job, Optional.of(revocation.treatment()));
        if (next.isEmpty()) {
            markRemainingLost(job, running);
            return;
        }
        treat(
                job,
                running,
                new Revocation(revocation.cause(), next.get(), deadline(running, next.get()), revocation.reason()));
    }

    private void begin(Job job, Revocation.Cause cause, Treatment treatment, String reason) {
        Phase.Running running = (Phase.Running) job.phase();
        if (running.revocation().isEmpty()) {
            for (Member member : running.attempt().members()) {
                if (running.members().get(member.index()).occupiesAccelerators()) {
                    draft.targets()
                            .changeTarget(member.target(), t -> t.with(t.load().withRevoking(member.units())));
                }
            }
        }
        draft.note(PART, job, "treatment=" + treatment + " why=" + reason);
        treat(job, running, new Revocation(cause, treatment, deadline(running, treatment), reason));
    }

    /**
     * Makes {@code revocation} the one under way and sends its treatment to all members that still occupy accelerators.
     */
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

    /**
     * Marks the members that still occupy accelerators as lost. A target that neither confirms a stop nor reports in
     * time no longer renews the lease of the member.
     */
    private void markRemainingLost(Job job, Phase.Running running) {
        RunTracker tracker = new RunTracker(draft);
        for (Member member : running.attempt().members()) {
            if (running.members().get(member.index()).occupiesAccelerators()) {
                tracker.handleMemberChange(
                        job.id(), running.attempt().number(), member.index(), MemberState.of(MemberState.Status.LOST));
            }
        }
    }

    /**
     * Returns the treatment after {@code previous}, or the first one if that is empty; skips a throttle that is not
     * possible.
     */
    private Optional<Treatment> nextTreatment(Job job, Optional<Treatment> previous) {
        Optional<Treatment> next = job.profile().nextTreatment(previous);
        boolean skip = next.isPresent() && next.get() == Treatment.THROTTLE && !mayThrottle(job);
        return skip ? job.profile().nextTreatment(next) : next;
    }

    /**
     * Returns whether {@code job} may be paused on its target. A paused member keeps its memory, so only jobs with a
     * single member are paused, and at most one of them on each target.
     */
    private boolean mayThrottle(Job job) {
        Attempt attempt = job.phase().currentAttempt().orElseThrow();
        Member only = attempt.members().getFirst();
        return attempt.members().size() == 1
                && draft.fleet().target(only.target()).load().paused().isEmpty();
    }

    /**
     * Returns the deadline of {@code treatment}, in milliseconds. A start in flight may arrive after a stop that was
     * sent later, so the time allowed for a stop does not begin before the start deadline of members that are still
     * starting.
     */
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
