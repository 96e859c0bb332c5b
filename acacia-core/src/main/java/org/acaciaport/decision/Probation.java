package org.acaciaport.decision;

/**
 * Puts targets on probation after repeated failures, and probes them before they take work again.
 *
 * <p>A failure counts against its target until any task succeeds there. A target ends its probation only through a
 * successful probe, so an idle one does not become trusted by the passing of time. Failures of a job that failed on
 * several targets and is not retried are withdrawn, as the job itself is the likelier cause.
 *
 * <p>Not thread-safe; each instance serves a single decision.
 */
final class Probation {
    private static final String PART = "probation";

    /** Multiplies the failures required while only one account has seen any, as its work may be at fault. */
    private static final int SINGLE_ACCOUNT_FACTOR = 2;

    private static final int MAX_DOUBLINGS = 5;

    private final Draft draft;

    Probation(Draft draft) {
        this.draft = draft;
    }

    /** Records that a task succeeded on a target, which clears its failures and ends its probation. */
    void recordSuccess(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || target.health().equals(Health.HEALTHY)) {
            return;
        }
        boolean probed = target.health().consecutiveProbations() > 0;
        draft.targets().changeTarget(id, t -> t.with(Health.HEALTHY));
        if (probed) {
            draft.note(PART, "target=" + id + " trusted again why=a task succeeded");
            new Membership(draft).retryUnassignedSlices();
        }
    }

    /**
     * Records that {@code job} failed on a target, or that the target refused to start it. A failed probe, or enough
     * failures of different requests, put the target on probation.
     */
    void recordFailure(String id, Job job) {
        TargetState target = draft.fleet().target(id);
        if (target == null || target.health().onProbation()) {
            return;
        }
        if (target.health().awaitsProbeResult()) {
            startProbation(target, target.health().consecutiveProbations() + 1);
            return;
        }
        Health health = target.health().withFailedRequest(job.id(), job.account());
        draft.targets().changeTarget(id, t -> t.with(health));
        int threshold = draft.policy().failuresForProbation();
        int required = health.countAffectedAccounts() > 1 ? threshold : threshold * SINGLE_ACCOUNT_FACTOR;
        if (health.accountsByFailedRequest().size() >= required) {
            startProbation(draft.fleet().target(id), 1);
        }
    }

    /**
     * Withdraws the failures of {@code job} from its targets if it failed on more than one of them.
     */
    void withdrawFailures(Job job) {
        if (job.avoidedTargets().size() < 2) {
            return;
        }
        for (String id : job.avoidedTargets()) {
            TargetState target = draft.fleet().target(id);
            if (target != null && target.health().accountsByFailedRequest().containsKey(job.id())) {
                draft.targets().changeTarget(id, t -> t.with(t.health().withoutFailedRequest(job.id())));
            }
        }
    }

    /** Allows one task to run as a probe on a target whose probe delay has passed. */
    void allowProbe(String id) {
        TargetState target = draft.fleet().target(id);
        if (target == null || !target.health().onProbation() || target.health().nextProbeAt() > draft.now()) {
            return;
        }
        draft.targets().changeTarget(id, t -> t.with(t.health().withProbeAllowed()));
        draft.note(PART, "target=" + id + " probed by its next task");
        draft.requestDispatch();
    }

    private void startProbation(TargetState target, int probations) {
        long delay = Math.min(
                draft.policy().maxProbeDelayMillis(),
                draft.policy().initialProbeDelayMillis() << Math.min(probations - 1, MAX_DOUBLINGS));
        long at = draft.now() + delay;
        draft.targets().changeTarget(target.id(), t -> t.with(t.health().withProbation(probations, at)));
        draft.addTimer(at, Timer.Kind.PROBE, target.id(), 0);
        draft.note(
                PART,
                "target=" + target.id() + " on probation probes=" + probations + " until=" + at
                        + " why=different requests failed there without a success");
        new Membership(draft).reassignGuarantees();
    }
}
