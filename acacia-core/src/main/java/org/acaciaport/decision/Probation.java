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
        if (target == null || target.health().equals(Health.HEALTHY)) {
            return;
        }
        boolean probed = target.health().consecutiveProbations() > 0;
        draft.changeTarget(id, t -> t.with(Health.HEALTHY));
        if (probed) {
            draft.note(PART, "target=" + id + " trusted again why=a task succeeded");
            new Membership(draft).reassignOwedSlices();
        }
    }

    void recordFailure(String id, Job job) {
        TargetState target = draft.fleet().target(id);
        if (target == null || target.health().onProbation()) {
            return;
        }
        if (target.health().awaitsProbeResult()) {
            begin(target, target.health().consecutiveProbations() + 1);
            return;
        }
        Health health = target.health().withFailedRequest(job.id(), job.account());
        draft.changeTarget(id, t -> t.with(health));
        int few = draft.policy().failuresForProbation();
        int enough = health.countAffectedAccounts() > 1 ? few : few * ONE_ACCOUNT_FACTOR;
        if (health.accountsByFailedRequest().size() >= enough) {
            begin(draft.fleet().target(id), 1);
        }
    }

    /** Takes back the suspicion that a job cast on targets, since it failed on every one. */
    void clearSuspicion(Job job) {
        if (job.avoidedTargets().size() < 2) {
            return;
        }
        for (String id : job.avoidedTargets()) {
            TargetState target = draft.fleet().target(id);
            if (target != null && target.health().accountsByFailedRequest().containsKey(job.id())) {
                draft.changeTarget(id, t -> t.with(t.health().withoutFailedRequest(job.id())));
            }
        }
    }

    /** Lets one task through to a target whose pause has passed. */
    void allowProbe(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || !target.health().onProbation() || target.health().nextProbeAt() > draft.now()) {
            return;
        }
        draft.changeTarget(id, t -> t.with(t.health().withProbeAllowed()));
        draft.note(PART, "target=" + id + " probed by its next task");
        draft.requestDispatch();
    }

    private void begin(TargetState target, int probes) {
        long pause = Math.min(
                draft.policy().maxProbeDelayMillis(),
                draft.policy().initialProbeDelayMillis() << Math.min(probes - 1, MOST_DOUBLINGS));
        long at = draft.now() + pause;
        draft.changeTarget(target.id(), t -> t.with(t.health().withProbation(probes, at)));
        draft.addTimer(at, Timer.Kind.PROBE, target.id(), 0);
        draft.note(
                PART,
                "target=" + target.id() + " on probation probes=" + probes + " until=" + at
                        + " why=different requests failed there without a success");
        new Membership(draft).reassignGuarantees();
    }
}
