package org.acaciaport.pool;

import java.util.HashMap;
import java.util.Map;

/**
 * The resources that each client account uses and has reserved on all targets together, by the full demand of its
 * tasks.
 *
 * <p>Kept up to date by {@link TargetState} with each change of a task that has a target, so that a pass costs nothing
 * per running task. Accounts without such tasks take no memory. Mutable and not thread-safe; confined to the thread of
 * the pool.
 */
final class AccountUsage {
    private final Map<String, Usage> usages = new HashMap<>();

    /** The usage of one account. */
    private static final class Usage {
        Resources running = Resources.NONE;
        Resources stopping = Resources.NONE;
        Resources reserved = Resources.NONE;
        Resources yielding = Resources.NONE;
        Resources lasting = Resources.NONE;

        /** Number of tasks and stray runs that are included. */
        int count;
    }

    /** Returns the resources of all runs that may be active, stray ones included. */
    Resources running(String account) {
        return usage(account).running;
    }

    /** Returns the resources in use once the pending stops are done and the reserved tasks have started. */
    Resources committed(String account) {
        Usage usage = usage(account);
        return usage.running.minus(usage.stopping).plus(usage.reserved);
    }

    /** Returns the resources of all runs that may be active and of the reserved tasks. */
    Resources occupied(String account) {
        Usage usage = usage(account);
        return usage.running.plus(usage.reserved);
    }

    /** Returns the part of {@link #committed} below the highest priority. */
    Resources yielding(String account) {
        return usage(account).yielding;
    }

    /** Returns the part of {@link #committed} of tasks that do not end by themselves. */
    Resources lasting(String account) {
        return usage(account).lasting;
    }

    private Usage usage(String account) {
        Usage usage = usages.get(account);
        return usage == null ? new Usage() : usage;
    }

    /** Adds a task that is on a target. */
    void add(TaskExecution task) {
        adjust(task, 1);
    }

    /** Removes a task that was added in its present phase. */
    void remove(TaskExecution task) {
        adjust(task, -1);
    }

    /** Adds a stray run, which counts as stopping. */
    void addStray(String account, Resources demand) {
        adjustStray(account, demand, 1);
    }

    /** Removes a stray run that was added. */
    void removeStray(String account, Resources demand) {
        adjustStray(account, demand, -1);
    }

    private void adjust(TaskExecution task, int sign) {
        Resources change = signed(task.step.spec.demand(), sign);
        Usage usage = changing(task.job().account(), sign);
        if (task.phase == Phase.RESERVED) {
            usage.reserved = usage.reserved.plus(change);
        } else {
            usage.running = usage.running.plus(change);
        }
        if (task.phase == Phase.STOPPING) {
            usage.stopping = usage.stopping.plus(change);
            return;
        }
        if (task.job().terms().priority() > 0) {
            usage.yielding = usage.yielding.plus(change);
        }
        if (task.step.spec.mode().lasting()) {
            usage.lasting = usage.lasting.plus(change);
        }
    }

    private void adjustStray(String account, Resources demand, int sign) {
        Usage usage = changing(account, sign);
        usage.running = usage.running.plus(signed(demand, sign));
        usage.stopping = usage.stopping.plus(signed(demand, sign));
    }

    private static Resources signed(Resources demand, int sign) {
        return sign > 0 ? demand : Resources.NONE.minus(demand);
    }

    /** Returns the usage to change by one task or run; forgets it with the last one. */
    private Usage changing(String account, int sign) {
        Usage usage = usages.computeIfAbsent(account, name -> new Usage());
        usage.count += sign;
        if (usage.count == 0) {
            usages.remove(account);
        }
        return usage;
    }
}
