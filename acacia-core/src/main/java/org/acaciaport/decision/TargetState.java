package org.acaciaport.decision;

import java.util.Map;
import org.acaciaport.config.Shares;
import org.acaciaport.config.Target;

/**
 * One target with the work on it.
 *
 * <p>Immutable. The accelerators in use never exceed the target's; those in use and promised together may, while work
 * is being taken off.
 *
 * @param target the target as configured
 * @param health how far it is trusted
 * @param leaving whether it is going out of service
 * @param reachable whether its lease is held
 * @param load the work on it
 * @param owned accelerators owned, by account
 */
public record TargetState(
        Target target, Health health, boolean leaving, boolean reachable, Load load, Map<String, Integer> owned) {
    /** Returns the state of an empty, reachable target. */
    static TargetState empty(Target target) {
        return new TargetState(target, Health.HEALTHY, false, true, Load.NONE, Map.of());
    }

    /** Returns the target's identifier. */
    public String id() {
        return target.id();
    }

    /** Returns the target's accelerators. */
    public int capacity() {
        return target.accelerators();
    }

    /** Returns the accelerators that are neither occupied nor promised; negative while work is being taken off. */
    public int free() {
        return capacity() - load.used() - load.claimed();
    }

    /** Returns the accelerators that irrevocable work may still take without touching what is owned or promised. */
    public int unowned() {
        return capacity() - Shares.committed(owned, load.irrevocableWithClaimsByAccount());
    }

    /** Returns the accelerators that irrevocable work of {@code account} may still take here. */
    public int irrevocableCapacityFor(String account) {
        int spareOwn = owned.getOrDefault(account, 0)
                - load.irrevocableWithClaimsByAccount().getOrDefault(account, 0);
        return unowned() + Math.max(0, spareOwn);
    }

    /** Returns the accelerators that {@code account} owns here and neither occupies nor was promised. */
    public int unusedOwnedBy(String account) {
        int taken = load.usageOf(account).total() + load.claimedBy(account);
        return Math.max(0, owned.getOrDefault(account, 0) - taken);
    }

    /** Returns the accelerators that other accounts own here. */
    public int ownedByOthers(String account) {
        int sum = 0;
        for (Map.Entry<String, Integer> entry : owned.entrySet()) {
            sum += entry.getKey().equals(account) ? 0 : entry.getValue();
        }
        return sum;
    }

    /** Returns the accelerators that {@code account} occupies here beyond what it owns. */
    public int borrowedBy(String account) {
        return Math.max(0, load.usageOf(account).total() - owned.getOrDefault(account, 0));
    }

    /**
     * Returns whether one more task may be placed here, apart from accelerators. Slots do not count: a target has at
     * least as many as accelerators, and every task takes an accelerator.
     */
    public boolean acceptsWork() {
        return isUsable()
                && !health.onProbation()
                && (!health.awaitsProbeResult() || load.jobs().isEmpty());
    }

    /** Returns whether the target is in use and neither on probation nor being probed. */
    public boolean isTrusted() {
        return isUsable() && health.failedProbes() == 0;
    }

    /** Returns whether the target is reachable and stays in service. */
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
