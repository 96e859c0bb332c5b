package org.acaciaport.decision;

import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Profile;

/**
 * The safety rules that the decisions ask before they act, each in one place.
 *
 * <p>Stateless and safe for use by several threads. Tests override single rules to show that {@link Invariants} notices
 * when one is missing; the programs use this class as it is.
 */
class Rules {
    /** Returns whether every target must agree to hold its place before any member starts. */
    boolean requiresReservation(Profile profile) {
        return profile.gang();
    }

    /** Returns whether the intent to start must be on the log before any member starts. */
    boolean requiresIntent(Profile profile) {
        return !profile.idempotent();
    }

    /** Returns whether {@code units} accelerators are free on {@code target} and promised to nobody. */
    boolean fits(TargetState target, int units) {
        return target.free() >= units;
    }

    /** Returns whether irrevocable work of {@code account} leaves what others own on {@code target} reclaimable. */
    boolean preservesGuarantees(TargetState target, String account, int units) {
        return target.irrevocableCapacityFor(account) >= units;
    }

    /** Returns whether work may start now. */
    boolean mayStart(CellState state, StartGate gate, long now) {
        return gate.permitUntil() > now && state.active().inService(state.dataCentre());
    }

    /** Returns whether {@code target} takes new work. */
    boolean acceptsWork(TargetState target) {
        return target.acceptsWork();
    }

    /** Returns whether a started request may be started again from its beginning. */
    boolean mayRunAgain(Job job) {
        return job.profile().idempotent();
    }

    /** Returns whether requests of {@code profile} wait while requests of {@code other} wait in the same account. */
    boolean waitsFor(Profile profile, Profile other) {
        return other.precedes().contains(profile.name());
    }

    /** Returns whether an account may claim accelerators that it owns and others use. */
    boolean claimsEnabled() {
        return true;
    }

    /** Returns whether work is taken off for a claim. */
    boolean preemptionEnabled() {
        return true;
    }

    /**
     * Returns whether set-aside places may be lent to a job.
     *
     * @param ownerWaits whether their owner still waits for irrevocable work
     * @param endsInTime whether the job will have ended by the owner's deadline
     */
    boolean mayBackfill(boolean ownerWaits, boolean endsInTime) {
        return ownerWaits && endsInTime;
    }

    /** Returns whether targets that the platform lists as leaving count as leaving. */
    boolean appliesLeavingList() {
        return true;
    }

    /** Returns whether {@code target} may start what was placed there before. */
    boolean mayStartOn(TargetState target) {
        return target != null && target.isUsable();
    }

    /** Returns whether {@code next} replaces {@code previous}. */
    boolean replaces(ActiveConfiguration next, ActiveConfiguration previous) {
        return next.revision() > previous.revision();
    }

    /** Returns how urgent {@code job} is within its account; waiting raises it. */
    long effectivePriority(Job job, long now, Policy policy) {
        long waited = now - job.request().acceptedAt();
        return job.profile().priority() + waited / policy.agingMillis();
    }

    /** Returns the order in which accounts are served, given the accelerators that {@code account} uses. */
    long accountRank(int units, Job mostUrgent) {
        return units;
    }

    /** Returns whether places are set aside for large jobs that have waited long. */
    boolean drainsForLargeJobs() {
        return true;
    }

    /** Returns whether the request may be answered as not run. */
    boolean neverStarted(Job job) {
        return !job.mayHaveRun();
    }

    /** Returns whether the rest of a gang is taken off once a member is gone. */
    boolean stopsPartialGangs() {
        return true;
    }
}
