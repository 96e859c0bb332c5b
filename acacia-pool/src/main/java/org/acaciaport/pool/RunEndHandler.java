package org.acaciaport.pool;

import java.util.List;
import org.jboss.logging.Logger;

/**
 * Counts the ends of runs that targets report, once each.
 *
 * <p>Every reported end counts, whatever was concluded of the run before: a task is done once any of its runs ended so,
 * and its failures are the set of its runs that were reported as failed. Ends may therefore be reported late, in any
 * order, and again after a change of leader. Not thread-safe; confined to the thread of the pool.
 */
final class RunEndHandler {
    private static final Logger LOG = Logger.getLogger(RunEndHandler.class);

    private final Outbox outbox;
    private final TargetHealth targetHealth;
    private final RunEstimates estimates;
    private final TaskLifecycle taskLifecycle;
    private final EstimateErrors estimateErrors;
    private final DeclaredDurations declaredDurations;

    /**
     * Creates a handler.
     *
     * @param outbox collects the changed jobs
     * @param targetHealth learns from successes and failures
     * @param estimates learns from the durations of runs
     * @param taskLifecycle changes the states of tasks
     * @param estimateErrors learns how far estimates are off
     * @param declaredDurations learns how far declared durations are off
     */
    RunEndHandler(
            Outbox outbox,
            TargetHealth targetHealth,
            RunEstimates estimates,
            TaskLifecycle taskLifecycle,
            EstimateErrors estimateErrors,
            DeclaredDurations declaredDurations) {
        this.outbox = outbox;
        this.targetHealth = targetHealth;
        this.estimates = estimates;
        this.taskLifecycle = taskLifecycle;
        this.estimateErrors = estimateErrors;
        this.declaredDurations = declaredDurations;
    }

    /** Handles the end of a run that {@code target} reported. Has no effect if {@code task} is null. */
    void handleEnd(TaskExecution task, TargetState target, TargetReport.Ended end, ClockReading now) {
        boolean current = task != null && task.isActive(end.run(), target);
        LOG.infof(
                "end: request=%s task=%s run=%s target=%s how=%s number=%s current=%s",
                end.task().job(), end.task(), end.run(), target.id, end.reason(), end.number(), current);
        if (task == null) {
            return;
        }
        if (current) {
            handleCurrent(task, target, end, now);
        } else {
            handleLate(task, target, end, now);
        }
    }

    private void handleCurrent(TaskExecution task, TargetState target, TargetReport.Ended end, ClockReading now) {
        if (!end.checkpoint().isEmpty()) {
            taskLifecycle.saveCheckpoint(task, end.checkpoint());
        }
        outbox.markChanged(task.step.job);
        switch (end.reason()) {
            case DONE -> {
                targetHealth.recordSuccess(target, now);
                recordDuration(task, now);
                estimates.recordCompleted(task, now);
                taskLifecycle.handleDone(task, now);
            }
            case FAILED -> {
                targetHealth.recordFailure(task.id.job(), target, now);
                estimates.recordInterrupted(task, now);
                countFailure(task, end.run());
                taskLifecycle.requeue(task, now);
                failIfExhausted(task, now);
            }
            case STOPPED, LAPSED, BROKEN, ALONE -> {
                estimates.recordInterrupted(task, now);
                taskLifecycle.requeue(task, now);
            }
        }
        if (task.step.spec.mode().gang()) {
            recordGangEnd(task.step, end, now);
        }
    }

    /** Takes the last member of a broken gang off its target, which may have left without reporting the end. */
    private void recordGangEnd(StepExecution step, TargetReport.Ended end, ClockReading now) {
        step.gangEnds.record(end.run(), end.reason());
        TaskExecution last = step.gangEnds.unreportedEnd(step);
        if (last != null) {
            LOG.infof(
                    "end: request=%s task=%s run=%s target=%s how=inferred reason=all others are broken",
                    last.id.job(), last.id, last.lastRun, last.target.id);
            UnreportedRun.ofNewest(last, now).add();
            taskLifecycle.requeue(last, now);
        }
    }

    /** Handles the end of a run that is not the newest one, or whose end was concluded before the report. */
    private void handleLate(TaskExecution task, TargetState target, TargetReport.Ended end, ClockReading now) {
        UnreportedRun unreported = task.unreportedRuns.get(end.run());
        if (unreported != null && unreported.target() == target) {
            unreported.settle();
            outbox.markChanged(task.step.job);
        }
        if (task.step.job.state.isTerminal() || task.step.spec.mode().lasting()) {
            return;
        }
        if (end.reason() == TargetReport.EndReason.DONE && task.phase != Phase.DONE) {
            targetHealth.recordSuccess(target, now);
            outbox.markChanged(task.step.job);
            disownLaterRuns(task, end.run());
            taskLifecycle.handleDone(task, now);
        } else if (end.reason() == TargetReport.EndReason.FAILED && countFailure(task, end.run())) {
            targetHealth.recordFailure(task.id.job(), target, now);
            outbox.markChanged(task.step.job);
            failIfExhausted(task, now);
        }
    }

    /** Stops the runs that were started after {@code run}, since that one has done the work. */
    private void disownLaterRuns(TaskExecution task, int run) {
        List<TaskExecution> members = task.step.spec.mode().gang() ? task.step.tasks : List.of(task);
        for (TaskExecution member : members) {
            if (member.phase.mayOccupyTarget() && member.lastRun != run) {
                outbox.addStop(member.target.id, member.incarnation, member.id, member.lastRun);
                member.target.disown(member);
            }
        }
    }

    /** Counts a failed run; one that several members of a gang report counts once. Returns whether it was new. */
    private static boolean countFailure(TaskExecution task, int run) {
        return !task.step.spec.mode().lasting() && counter(task).failedRuns.add(run);
    }

    /** Returns the task that keeps the failed runs of the unit of {@code task}. */
    private static TaskExecution counter(TaskExecution task) {
        return task.step.spec.mode().gang() ? task.step.tasks.get(0) : task;
    }

    private void failIfExhausted(TaskExecution task, ClockReading now) {
        if (!task.step.spec.mode().lasting()) {
            taskLifecycle.failIfExhausted(counter(task), now);
        }
    }

    private void recordDuration(TaskExecution task, ClockReading now) {
        Step step = task.step.spec;
        if (!step.mode().lasting() && task.isMeasurable()) {
            double runSeconds = now.secondsSince(task.confirmedNanos);
            estimateErrors.record(task.job().queue(), runSeconds, task.expectedSeconds);
            if (task.step.doneTaskCount == 0) {
                double nominalSeconds = runSeconds * task.target.speed;
                declaredDurations.record(task.job().queue(), nominalSeconds, step.estimateSeconds());
            }
        }
    }
}
