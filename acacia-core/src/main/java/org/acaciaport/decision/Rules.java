package org.acaciaport.decision;

import org.acaciaport.config.Profile;

/**
 * The safety rules that the decisions ask before they act, each in one place.
 *
 * <p>Stateless and safe for use by several threads. Tests override single rules to show that {@link Invariants} notices
 * when one is missing; the programs use this class as it is.
 */
class Rules {
    /** Returns whether every target must agree to hold its place before any member starts. */
    boolean reservesFirst(Profile profile) {
        return profile.gang();
    }

    /** Returns whether the intent to start must be on the log before any member starts. */
    boolean recordsIntent(Profile profile) {
        return !profile.idempotent();
    }

    /** Returns whether irrevocable work of {@code account} leaves what others own on {@code target} reclaimable. */
    boolean leavesOwned(TargetState target, String account, int units) {
        return target.unownedFor(account) >= units;
    }

    /** Returns whether work may start now. */
    boolean mayStart(CellState state, Gate gate, long now) {
        return gate.permitUntil() > now && state.active().inService(state.dataCentre());
    }

    /** Returns whether {@code target} takes new work. */
    boolean accepts(TargetState target) {
        return target.accepting();
    }

    /** Returns whether a started request may be started again from its beginning. */
    boolean mayRunAgain(Job job) {
        return job.profile().idempotent();
    }

    /** Returns whether requests of {@code profile} wait while requests of {@code other} wait in the same account. */
    boolean waitsFor(Profile profile, Profile other) {
        return other.precedes().contains(profile.name());
    }

    /** Returns whether borrowed accelerators are taken back for an account that owns them. */
    boolean reclaims() {
        return true;
    }

    /** Returns whether places are set aside for large jobs that have waited long. */
    boolean setsAside() {
        return true;
    }

    /** Returns whether the request may be answered as not run. */
    boolean neverStarted(Job job) {
        return !job.everStarted();
    }

    /** Returns whether the rest of a gang is taken off once a member is gone. */
    boolean endsBrokenGangs() {
        return true;
    }
}
