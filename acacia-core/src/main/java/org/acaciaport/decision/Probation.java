package org.acaciaport.decision;

/**
 * Keeps work off targets that fail what they start, without trusting a target for being empty or blaming it for jobs
 * that fail everywhere.
 *
 * <p>Confined to one decision.
 */
final class Probation {
    private static final String PART = "probation";
    private static final int ONE_ACCOUNT_FACTOR = 2;
    private static final int MOST_DOUBLINGS = 5;

    private final Draft draft;

    Probation(Draft draft) {
        this.draft = draft;
    }

    void recordSuccess(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || target.health().equals(Health.GOOD)) {
            return;
        }
        boolean probed = target.health().probes() > 0;
        draft.changeTarget(id, t -> t.with(Health.GOOD));
        if (probed) {
            draft.note(PART, "target=" + id + " trusted again why=a task succeeded");
            new Membership(draft).reassignOwedSlices();
        }
    }

    void recordFailure(String id, Job job) {
        TargetState target = draft.fleet().target(id);
        if (target == null || target.health().probation()) {
            return;
        }
        if (target.health().probed()) {
            begin(target, target.health().probes() + 1);
            return;
        }
        Health health = target.health().withSuspect(job.id(), job.account());
        draft.changeTarget(id, t -> t.with(health));
        int few = draft.policy().suspectsForProbation();
        int enough = health.accounts() > 1 ? few : few * ONE_ACCOUNT_FACTOR;
        if (health.suspects().size() >= enough) {
            begin(draft.fleet().target(id), 1);
        }
    }

    /** Takes back the suspicion that a job cast on targets, since it failed on every one. */
    void clearSuspicion(Job job) {
        if (job.failedOn().size() < 2) {
            return;
        }
        for (String id : job.failedOn()) {
            TargetState target = draft.fleet().target(id);
            if (target != null && target.health().suspects().containsKey(job.id())) {
                draft.changeTarget(id, t -> t.with(t.health().withoutSuspect(job.id())));
            }
        }
    }

    /** Lets one task through to a target whose pause has passed. */
    void allowProbe(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || !target.health().probation() || target.health().probeAt() > draft.now()) {
            return;
        }
        draft.changeTarget(id, t -> t.with(t.health().probing()));
        draft.note(PART, "target=" + id + " probed by its next task");
        draft.wantDispatch();
    }

    private void begin(TargetState target, int probes) {
        long pause = Math.min(
                draft.policy().maxProbeMillis(), draft.policy().probeMillis() << Math.min(probes - 1, MOST_DOUBLINGS));
        long at = draft.now() + pause;
        draft.changeTarget(target.id(), t -> t.with(t.health().onProbation(probes, at)));
        draft.timer(at, Timer.Kind.PROBE, target.id(), 0);
        draft.note(
                PART,
                "target=" + target.id() + " on probation probes=" + probes + " until=" + at
                        + " why=different requests failed there without a success");
        new Membership(draft).reassignGuarantees();
    }
}
