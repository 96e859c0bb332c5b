package org.acaciaport.decision;

import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Profile;

/**
 * The predicates and orderings that a decision consults before it acts.
 *
 * <p>Stateless and thread-safe. Production code uses this class as it is. Tests override single methods to show that
 * {@link Invariants} detects the absence of a rule, or to compare scheduling strategies.
 */
class Rules {
    /** Returns whether every target must grant a reservation before any member starts. */
    boolean requiresReservation(Profile profile) {
        return profile.runsAsGang();
    }

    /**
     * Returns whether the intent to start must be recorded on the log before any member starts. Idempotent work needs
     * no intent, since a later leader may safely start it again.
     */
    boolean requiresIntent(Profile profile) {
        return !profile.idempotent();
    }

    /** Returns whether {@code units} accelerators of {@code target} are neither occupied nor claimed. */
    boolean fits(TargetState target, int units) {
        return target.free() >= units;
    }

    /**
     * Returns whether {@code account} can occupy {@code units} more accelerators of {@code target} with irrevocable
     * work while the guarantees of the other accounts there remain reclaimable.
     */
    boolean preservesGuarantees(TargetState target, String account, int units) {
        return target.irrevocableCapacityFor(account) >= units;
    }

    /** Returns whether work may start now: the permit has not expired and the data centre is in service. */
    boolean mayStart(CellState state, StartGate gate, long now) {
        return gate.permitUntil() > now && state.active().inService(state.dataCentre());
    }

    /** Returns whether new work may be placed on {@code target}. */
    boolean acceptsWork(TargetState target) {
        return target.acceptsWork();
    }

    /** Returns whether {@code job} may be restarted from its beginning after it may have started. */
    boolean mayRunAgain(Job job) {
        return job.profile().idempotent();
    }

    /** Returns whether requests of {@code profile} wait while the same account has queued requests of {@code other}. */
    boolean waitsFor(Profile profile, Profile other) {
        return other.precedes().contains(profile.name());
    }

    /** Returns whether an account may claim accelerators that are guaranteed to it and occupied by others. */
    boolean claimsEnabled() {
        return true;
    }

    /** Returns whether running work is preempted for a claim. */
    boolean preemptionEnabled() {
        return true;
    }

    /**
     * Returns whether a job may be backfilled onto accelerators that are being drained for a large job.
     *
     * @param drainBlocked whether work that cannot be preempted still keeps the large job from starting
     * @param endsInTime whether the backfilled job is expected to end by the deadline of the drain
     */
    boolean mayBackfill(boolean drainBlocked, boolean endsInTime) {
        return drainBlocked && endsInTime;
    }

    /** Returns whether a target on the platform's list of leaving VMs is treated as leaving. */
    boolean appliesLeavingList() {
        return true;
    }

    /**
     * Returns whether {@code target} may start work that was placed there earlier.
     *
     * @param target the target, or null if it is no longer configured
     */
    boolean mayStartOn(TargetState target) {
        return target != null && target.isUsable();
    }

    /** Returns whether the configuration {@code next} replaces {@code previous}, which is in force. */
    boolean replaces(ActiveConfiguration next, ActiveConfiguration previous) {
        return next.revision() > previous.revision();
    }

    /**
     * Returns the priority of {@code job} within its account, higher first: the priority of its profile, raised with
     * waiting time to prevent starvation.
     */
    long effectivePriority(Job job, long now, Policy policy) {
        long waited = now - job.request().acceptedAt();
        return job.profile().priority() + waited / policy.agingMillis();
    }

    /**
     * Returns the rank of an account; accounts are served in ascending order of rank.
     *
     * @param units accelerators that the account occupies
     * @param mostUrgent the queued job of the account with the highest effective priority
     */
    long accountRank(int units, Job mostUrgent) {
        return units;
    }

    /** Returns whether targets are drained for large jobs that have waited long. */
    boolean drainsForLargeJobs() {
        return true;
    }

    /** Returns whether no member of {@code job} can have started, so that it may be answered as not run. */
    boolean neverStarted(Job job) {
        return !job.mayHaveRun();
    }

    /**
     * Returns whether the remaining members of a gang are stopped once one member is gone without having ended
     * normally.
     */
    boolean stopsPartialGangs() {
        return true;
    }
}
