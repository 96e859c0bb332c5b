package org.acaciaport.pool;

import java.util.List;
import org.jboss.logging.Logger;

/**
 * Watches active runs, and stops those that stall, are much slower than expected, or would be lost with their target.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 */
final class RunMonitor {
    private static final Logger LOG = Logger.getLogger(RunMonitor.class);

    /** Constant part of the time without progress after which a run counts as stalled, in milliseconds. */
    private static final long STALL_TIMEOUT_MILLIS = 2_500;

    /** Fraction of the estimated duration of a task that is added to {@link #STALL_TIMEOUT_MILLIS}. */
    private static final double STALL_TIMEOUT_ESTIMATE_FRACTION = 0.1;

    /** Largest number of times that the stall timeout of a task is doubled. */
    private static final int MAX_STALL_DOUBLINGS = 20;

    private static final int COMPLETE_PERCENT = 100;

    /** Time before the departure of a target at which its tasks are evicted, in seconds; long enough to stop a run. */
    private static final double EVICTION_LEAD_SECONDS = 0.8;

    /**
     * Multiple of the least time until a departure that a run without checkpoints must need beyond that time to be
     * stopped at once; targets often stay longer than they must.
     */
    private static final double EVICTION_MARGIN_FACTOR = 1.25;

    private final TargetHealth targetHealth;
    private final EstimateErrors estimateErrors;
    private final TaskLifecycle taskLifecycle;

    RunMonitor(TargetHealth targetHealth, EstimateErrors estimateErrors, TaskLifecycle taskLifecycle) {
        this.targetHealth = targetHealth;
        this.estimateErrors = estimateErrors;
        this.taskLifecycle = taskLifecycle;
    }

    /** Stops a run that stalls, so that the task continues on another target; handles the first straggler of a step. */
    void checkProgress(TaskExecution task, ClockReading now) {
        Step step = task.step.spec;
        if (step.mode().lasting() || step.mode().filling() || task.percent >= COMPLETE_PERCENT) {
            return;
        }
        if (!task.step.stragglerHandled
                && task.isStraggler(estimateErrors.usualFactor(task.job().queue()), now)) {
            task.step.stragglerHandled = true;
            handleStraggler(task, now);
            return;
        }
        if (now.millisSince(task.lastProgressNanos) < stallTimeoutMillis(task)) {
            return;
        }
        task.stallCount++;
        LOG.infof(
                "stop: request=%s task=%s run=%s target=%s why=stuck percent=%s",
                task.id.job(), task.id, task.lastRun, task.target.id, task.percent);
        targetHealth.recordStall(task.target, now);
        taskLifecycle.stop(task, now);
    }

    /** Returns the stall timeout; doubled with each stall of the task from the second, as it may just be long. */
    private static long stallTimeoutMillis(TaskExecution task) {
        double millis = STALL_TIMEOUT_MILLIS + STALL_TIMEOUT_ESTIMATE_FRACTION * task.step.spec.estimateMillis();
        return (long) (millis * (1L << Math.clamp(task.stallCount - 1, 0, MAX_STALL_DOUBLINGS)));
    }

    /**
     * Excludes the target of a straggler from new work for some time. The task moves to another target if it would end
     * sooner there and has the highest priority or checkpoints.
     */
    private void handleStraggler(TaskExecution task, ClockReading now) {
        boolean mayMigrate =
                task.job().terms().priority() == 0 || task.step.spec.mode().checkpoint();
        boolean migrates = mayMigrate && task.wouldEndSoonerElsewhere();
        LOG.infof(
                "%s: request=%s task=%s run=%s target=%s why=slow percent=%s",
                migrates ? "stop" : "keep", task.id.job(), task.id, task.lastRun, task.target.id, task.percent);
        targetHealth.recordStall(task.target, now);
        if (migrates) {
            taskLifecycle.stop(task, now);
        }
    }

    /**
     * Stops the tasks on a draining target that would not complete before its departure, so that they go on elsewhere
     * instead of waiting for the lease of a target that has left. Those with checkpoints are stopped shortly before the
     * departure, gangs of the highest priority without them as soon as they would be late by staying. Others stay, as
     * targets often leave later than they must.
     */
    void evictBeforeDeparture(TargetState target, ClockReading now) {
        if (target.info == null || !target.info.draining() || target.info.departureNanos() == 0) {
            return;
        }
        double secondsToDeparture = -now.secondsSince(target.info.departureNanos());
        for (TaskExecution task : List.copyOf(target.tasks.values())) {
            if (task.phase != Phase.RUNNING || !isLostAtDeparture(task, secondsToDeparture, now)) {
                continue;
            }
            LOG.infof(
                    "stop: request=%s task=%s run=%s target=%s why=leaving",
                    task.id.job(), task.id, task.lastRun, target.id);
            taskLifecycle.stop(task, now);
        }
    }

    private static boolean isLostAtDeparture(TaskExecution task, double secondsToDeparture, ClockReading now) {
        double remaining = task.remainingSeconds(now);
        if (task.step.spec.mode().checkpoint()) {
            return secondsToDeparture <= EVICTION_LEAD_SECONDS && remaining >= secondsToDeparture;
        }
        boolean gang = task.step.tasks.size() > 1 && task.step.spec.mode().gang();
        return gang
                && task.job().terms().priority() == 0
                && secondsToDeparture > 0
                && remaining > EVICTION_MARGIN_FACTOR * secondsToDeparture + EVICTION_LEAD_SECONDS;
    }
}
