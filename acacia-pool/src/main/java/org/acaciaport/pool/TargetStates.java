package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The targets of a pool by id: those that are registered, and others that may still have runs.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool.
 */
final class TargetStates {
    private final Map<String, TargetState> targets = new TreeMap<>();
    private final AccountUsage accountUsage;

    TargetStates(AccountUsage accountUsage) {
        this.accountUsage = accountUsage;
    }

    /** Returns the targets in the order of their ids. */
    Collection<TargetState> all() {
        return targets.values();
    }

    /** Returns a target, or null if it is unknown. */
    TargetState find(String id) {
        return targets.get(id);
    }

    /** Returns a target, and adds it without a registration if it is unknown. */
    TargetState findOrAdd(String id) {
        return targets.computeIfAbsent(id, key -> new TargetState(key, accountUsage));
    }

    /** Adds a target or updates its registration data. */
    void register(TargetInfo info) {
        TargetState target = findOrAdd(info.id());
        target.info = info;
        target.registered = true;
    }

    /** Removes the registration of a target, and the target if it has no runs. */
    void unregister(String id) {
        TargetState target = targets.get(id);
        if (target == null) {
            return;
        }
        target.registered = false;
        if (target.isIdle()) {
            targets.remove(id);
        }
    }

    /** Removes a target that is not registered; its runs have ended. */
    void removeUnlessRegistered(TargetState target) {
        if (!target.registered) {
            targets.remove(target.id);
        }
    }

    /** Returns the ids of the targets that may have active runs, stray ones included. */
    Collection<String> occupied() {
        List<String> ids = new ArrayList<>();
        for (TargetState target : targets.values()) {
            if (target.isOccupied()) {
                ids.add(target.id);
            }
        }
        return ids;
    }
}
