package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The state of one target and of the tasks placed on it.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool. {@code tasks} holds exactly the tasks whose
 * {@code target} is this one; they are in phase RESERVED, STARTING, RUNNING or STOPPING.
 */
final class TargetState {
    final String id;

    /** Newest registration data; null before the first registration. */
    TargetInfo info;

    /** Whether the target is currently registered. */
    boolean registered;

    /** Last incarnation that the target reported; 0 before the first report. */
    long incarnation;

    /** Monotonic clock reading when the newest report was handled, in nanoseconds; 0 before the first. */
    long lastReportNanos;

    /** Resources used by stray runs: reported runs that are not the newest run of their task on this target. */
    Resources strayDemand = Resources.NONE;

    /** Whether the newest report had stray runs. */
    boolean hasStrayRuns;

    /** Monotonic clock reading until which the target accepts no new work, in nanoseconds. */
    long excludedUntilNanos;

    /**
     * Monotonic clock reading until which the target gets no new work since work failed or stalled there, in
     * nanoseconds. Work that must not wait longer may use it sooner.
     */
    long suspectedUntilNanos;

    /** Failures of different jobs since the last success; a stall counts as several failures. */
    int failureScore;

    /** Monotonic clock reading at the last stall that was counted as a failure, in nanoseconds; 0 before the first. */
    long lastStallNanos;

    /** Monotonic clock reading at the last completed run, in nanoseconds; 0 before the first of the incarnation. */
    long lastSuccessNanos;

    /** Id of the job that failed last; empty if none has failed since the last success. */
    String lastFailedJob = "";

    /** Expected speed relative to the nominal one; 1 until it is known better. */
    double speed = 1;

    /** Speed that the target very probably has at least; 0 until it is known better. */
    double probableSpeed;

    /** Whether {@code speed} is known well enough to tell this target from slower and faster ones. */
    boolean speedKnown;

    /** Number of the target in the newest {@link SlotTable} that has it. */
    int tableIndex;

    final Map<TaskId, TaskExecution> tasks = new LinkedHashMap<>();

    /** The runs on this target that have ended without a report. */
    final Set<UnreportedRun> unreportedRuns = new LinkedHashSet<>();

    /** The stray runs of known jobs, which count against the limits of their accounts. */
    private final List<StrayRun> strayRuns = new ArrayList<>();

    private final AccountUsage accountUsage;
    private Resources used = Resources.NONE;
    private Resources reserved = Resources.NONE;

    /** Resources of all tasks except those that are being stopped. */
    private Resources committed = Resources.NONE;

    /**
     * Creates a target without tasks.
     *
     * @param accountUsage is told each change of the tasks and stray runs on this target
     */
    TargetState(String id, AccountUsage accountUsage) {
        this.id = id;
        this.accountUsage = accountUsage;
    }

    /** Returns the monotonic clock reading from which the target accepts all work, in nanoseconds. */
    long openFromNanos() {
        return Math.max(excludedUntilNanos, suspectedUntilNanos);
    }

    String rack() {
        return info == null ? "" : info.rack();
    }

    /** Returns the resources that are free now; negative amounts if the target is over-committed. */
    Resources freeNow() {
        return capacity().minus(used).minus(strayDemand);
    }

    /** Returns the resources that will be free once all pending stops are done and all reserved runs have started. */
    Resources projectedFree() {
        Resources free = capacity().minus(committed);
        return strayDemand == Resources.NONE ? free : free.minus(strayDemand);
    }

    /** Returns the resources that a unit could use at once: free now, and not reserved. */
    Resources freeAtOnce() {
        return freeNow().minus(reserved);
    }

    Resources capacity() {
        return info == null ? Resources.NONE : info.capacity();
    }

    /** A stray run of a known job. */
    private record StrayRun(String account, Resources demand) {}

    /** Records that a stray run of {@code job} uses resources, by its full {@code demand}. */
    void addStrayRun(Job job, Resources demand) {
        strayRuns.add(new StrayRun(job.account(), demand));
        accountUsage.addStray(job.account(), demand);
    }

    /** Passes the account and the demand of each stray run of a known job to {@code consumer}. */
    void forEachStrayRun(BiConsumer<String, Resources> consumer) {
        strayRuns.forEach(run -> consumer.accept(run.account(), run.demand()));
    }

    /** Records that the target has no stray runs. */
    void clearStrayRuns() {
        strayRuns.forEach(run -> accountUsage.removeStray(run.account(), run.demand()));
        strayRuns.clear();
        strayDemand = Resources.NONE;
        hasStrayRuns = false;
    }

    /** Turns the newest run of {@code task}, which is not wanted any more, into a stray run; the task has none then. */
    void disown(TaskExecution task) {
        Resources demand = task.demand();
        remove(task, Phase.WAITING);
        hasStrayRuns = true;
        strayDemand = strayDemand.plus(demand);
        addStrayRun(task.job(), task.step.spec.demand());
    }

    /** Returns whether the target has to be asked for reports, since it may have runs or ends to report. */
    boolean isOccupied() {
        return hasStrayRuns
                || !unreportedRuns.isEmpty()
                || tasks.values().stream().anyMatch(task -> task.phase.mayOccupyTarget());
    }

    /** Returns whether nothing is known of the target but its registration. */
    boolean isIdle() {
        return tasks.isEmpty() && !hasStrayRuns && unreportedRuns.isEmpty();
    }

    /** Places {@code task} on this target in {@code phase}, or moves a task on this target to {@code phase}. */
    void put(TaskExecution task, Phase phase) {
        if (task.target == this) {
            adjustUsage(task, -1);
        }
        task.target = this;
        task.phase = phase;
        tasks.put(task.id, task);
        adjustUsage(task, 1);
    }

    /** Removes {@code task} from this target and sets its phase to {@code phase}. */
    void remove(TaskExecution task, Phase phase) {
        adjustUsage(task, -1);
        tasks.remove(task.id);
        task.target = null;
        task.phase = phase;
    }

    private void adjustUsage(TaskExecution task, int sign) {
        if (sign > 0) {
            accountUsage.add(task);
        } else {
            accountUsage.remove(task);
        }
        Resources demand = task.demand();
        if (task.phase != Phase.STOPPING) {
            committed = add(committed, demand, sign);
        }
        if (task.phase == Phase.RESERVED) {
            reserved = add(reserved, demand, sign);
        } else {
            used = add(used, demand, sign);
        }
    }

    private static Resources add(Resources sum, Resources demand, int sign) {
        return sign > 0 ? sum.plus(demand) : sum.minus(demand);
    }
}
