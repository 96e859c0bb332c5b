package org.acaciaport.pool;

import java.util.function.Function;
import java.util.function.Predicate;
import org.jboss.logging.Logger;

/**
 * Applies the outcomes of start commands to the tasks.
 *
 * <p>Has no mutable state of its own. Not thread-safe; confined to the thread of the pool.
 */
final class StartOutcomes {
    private static final Logger LOG = Logger.getLogger(StartOutcomes.class);

    private final Function<String, JobExecution> findJob;
    private final TaskLifecycle taskLifecycle;
    private final ReportHandler reportHandler;
    private final Predicate<String> isWithinLimit;

    /**
     * Creates a handler.
     *
     * @param findJob returns a job by its id, or null if it is unknown
     * @param isWithinLimit whether what an account has running is within its limit
     */
    StartOutcomes(
            Function<String, JobExecution> findJob,
            TaskLifecycle taskLifecycle,
            ReportHandler reportHandler,
            Predicate<String> isWithinLimit) {
        this.findJob = findJob;
        this.taskLifecycle = taskLifecycle;
        this.reportHandler = reportHandler;
        this.isWithinLimit = isWithinLimit;
    }

    /** Returns whether a start that has not been sent yet is still to be sent. */
    boolean isWanted(TargetCommand.Start start) {
        TaskExecution task = currentTask(start);
        return task != null
                && task.phase == Phase.STARTING
                && !task.step.job.awaitsService
                && Placement.isOfKind(task.job(), task.step.spec, task.target)
                && isWithinLimit.test(task.job().account());
    }

    /** Handles the confirmation of a start; of a run that is no longer current, it shows that the job has begun. */
    void handleStarted(TargetCommand.Start start, ClockReading now) {
        reportHandler.recordBegun(start.task().job());
        TaskExecution task = currentTask(start);
        if (task != null && task.confirmedNanos == 0) {
            ReportHandler.confirmStart(task, now);
        }
    }

    /** Handles the definite failure of a start. */
    void handleFailure(TargetCommand.Start start, String reason, ClockReading now) {
        LOG.infof(
                "start: request=%s task=%s run=%s target=%s outcome=refused reason=%s",
                start.task().job(), start.task(), start.run(), start.target(), reason);
        TaskExecution task = currentTask(start);
        if (task != null) {
            taskLifecycle.requeue(task, now);
        }
    }

    /** Returns the task of {@code start}, or null if that start is not its newest active run. */
    private TaskExecution currentTask(TargetCommand.Start start) {
        JobExecution job = findJob.apply(start.task().job());
        TaskExecution task = job == null ? null : job.task(start.task());
        boolean current = task != null
                && task.phase.mayOccupyTarget()
                && task.lastRun == start.run()
                && task.target.id.equals(start.target());
        return current ? task : null;
    }
}
