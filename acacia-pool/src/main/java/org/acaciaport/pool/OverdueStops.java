package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The runs that were told to stop and have not ended in the usual time, and the targets that probably do not answer.
 *
 * <p>A stop on a silent target takes until the end of its lease, so a unit that has to start soon must not count on it.
 * Computed from the targets when first asked, and kept for the pass. Created anew for each pass. Not thread-safe;
 * confined to the thread of the pool.
 */
final class OverdueStops {
    /** Age from which a stop is overdue, in milliseconds; twice the time that one takes on a target that answers. */
    private static final long MAX_STOP_MILLIS = 500;

    /** Age of the newest report from which a target with runs is silent, in milliseconds: two reports are missing. */
    private static final long MAX_REPORT_AGE_MILLIS = 1_000;

    private final Collection<TargetState> targets;
    private final ClockReading now;

    /** Resources of the overdue stops by account; null until they are asked for. */
    private Map<String, Resources> byAccount;

    OverdueStops(Collection<TargetState> targets, ClockReading now) {
        this.targets = targets;
        this.now = now;
    }

    /** Returns the resources of the runs of {@code account} whose stops are overdue. */
    Resources of(String account) {
        if (byAccount == null) {
            byAccount = new HashMap<>();
            targets.forEach(this::addOverdue);
        }
        return byAccount.getOrDefault(account, Resources.NONE);
    }

    private void addOverdue(TargetState target) {
        for (TaskExecution task : target.tasks.values()) {
            if (isOverdue(task)) {
                add(task.job().account(), task.step.spec.demand());
            }
        }
        if (target.hasStrayRuns && isSilent(target)) {
            target.forEachStrayRun(this::add);
        }
    }

    private void add(String account, Resources demand) {
        byAccount.merge(account, demand, Resources::plus);
    }

    /** Returns whether {@code target} has reported lately and ends its runs when told to. */
    boolean isAnswering(TargetState target) {
        return !isSilent(target) && target.tasks.values().stream().noneMatch(this::isOverdue);
    }

    private boolean isSilent(TargetState target) {
        return now.millisSince(target.lastReportNanos) > MAX_REPORT_AGE_MILLIS;
    }

    private boolean isOverdue(TaskExecution task) {
        return task.phase == Phase.STOPPING && now.millisSince(task.stoppingSinceNanos) > MAX_STOP_MILLIS;
    }
}
