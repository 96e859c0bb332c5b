package org.acaciaport.decision;

import java.util.Map;
import org.acaciaport.config.SliceAssignment;
import org.acaciaport.config.Target;

/**
 * The state of one target: its configuration, availability, health and work.
 *
 * <p>Immutable. The units occupied never exceed the target's accelerators, except while an earlier leader's starts are
 * unconfirmed. Those occupied and claimed together may, while work is being revoked.
 *
 * @param target the target as configured
 * @param health how reliably it runs work
 * @param leaving whether it is going out of service
 * @param reachable whether its lease is held
 * @param load the work on it
 * @param owned units owned, by account
 */
public record TargetState(
        Target target, Health health, boolean leaving, boolean reachable, Load load, Map<String, Integer> owned) {
    /** Returns the state of a target that is reachable, in service and without work. */
    static TargetState empty(Target target) {
        return new TargetState(target, Health.HEALTHY, false, true, Load.NONE, Map.of());
    }

    /** Returns the target's identifier. */
    public String id() {
        return target.id();
    }

    /** Returns the number of the target's accelerators. */
    public int capacity() {
        return target.accelerators();
    }

    /** Returns the units that are neither occupied nor claimed; may be negative while work is being revoked. */
    public int free() {
        return capacity() - load.used() - load.claimed();
    }

    /**
     * Returns the units that remain for irrevocable work of any account, beside the owned units and the irrevocable
     * work that runs here or has a claim; may be negative.
     */
    public int unowned() {
        return capacity() - SliceAssignment.committedUnits(owned, load.irrevocableWithClaimsByAccount());
    }

    /** Returns the units that irrevocable work of {@code account} may take: those unowned and its own unused ones. */
    public int irrevocableCapacityFor(String account) {
        int unusedOwned = owned.getOrDefault(account, 0)
                - load.irrevocableWithClaimsByAccount().getOrDefault(account, 0);
        return unowned() + Math.max(0, unusedOwned);
    }

    /** Returns the units that {@code account} owns here beyond those that it occupies or claims. */
    public int unusedOwnedBy(String account) {
        int taken = load.usageOf(account).total() + load.claimedBy(account);
        return Math.max(0, owned.getOrDefault(account, 0) - taken);
    }

    /** Returns the units that accounts other than {@code account} own here. */
    public int ownedByOthers(String account) {
        int sum = 0;
        for (Map.Entry<String, Integer> entry : owned.entrySet()) {
            sum += entry.getKey().equals(account) ? 0 : entry.getValue();
        }
        return sum;
    }

    /** Returns the units that {@code account} occupies here beyond those that it owns. */
    public int borrowedBy(String account) {
        return Math.max(0, load.usageOf(account).total() - owned.getOrDefault(account, 0));
    }

    /**
     * Returns whether another task may be placed here if enough units are free. Slots need no check: a target has at
     * least as many slots as accelerators, and every task takes an accelerator.
     */
    public boolean acceptsWork() {
        return isUsable()
                && !health.onProbation()
                && (!health.awaitsProbeResult() || load.jobs().isEmpty());
    }

    /** Returns whether the target is usable and neither on probation nor being probed. */
    public boolean isTrusted() {
        return isUsable() && health.consecutiveProbations() == 0;
    }

    /** Returns whether the target is reachable and not going out of service. */
    public boolean isUsable() {
        return reachable && !leaving;
    }

    TargetState with(Load next) {
        return new TargetState(target, health, leaving, reachable, next, owned);
    }

    TargetState with(Health next) {
        return new TargetState(target, next, leaving, reachable, load, owned);
    }

    TargetState with(Target next) {
        return new TargetState(next, health, leaving, reachable, load, owned);
    }

    TargetState withLeaving(boolean next) {
        return new TargetState(target, health, next, reachable, load, owned);
    }

    TargetState withReachable(boolean next) {
        return new TargetState(target, health, leaving, next, load, owned);
    }

    TargetState withOwned(Map<String, Integer> next) {
        return new TargetState(target, health, leaving, reachable, load, next);
    }
}
