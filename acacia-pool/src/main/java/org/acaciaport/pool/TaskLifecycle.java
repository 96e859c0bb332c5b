package org.acaciaport.pool;

import java.util.List;
import org.jboss.logging.Logger;

/**
 * The state transitions of tasks whose runs end or have to be stopped, and their effect on the gang and the job.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 */
final class TaskLifecycle {
    private static final Logger LOG = Logger.getLogger(TaskLifecycle.class);

    private final Outbox outbox;
    private final TargetHealth targetHealth;
    private final RunEstimates estimates;

    TaskLifecycle(Outbox outbox, TargetHealth targetHealth, RunEstimates estimates) {
        this.outbox = outbox;
        this.targetHealth = targetHealth;
        this.estimates = estimates;
    }

    /** Saves a checkpoint of the task; the checkpoint of one gang member applies to the whole gang. */
    void saveCheckpoint(TaskExecution task, String checkpoint) {
        if (!task.step.spec.mode().gang()) {
            task.checkpoint = checkpoint;
            return;
        }
        for (TaskExecution member : task.step.tasks) {
            member.checkpoint = checkpoint;
        }
    }

    /** Handles the successful end of a run of the task; one of a gang member is that of the whole gang. */
    void handleDone(TaskExecution task, ClockReading now) {
        StepExecution step = task.step;
        if (step.job.state.isTerminal()) {
            detach(task, Phase.WAITING);
            return;
        }
        if (step.spec.mode().lasting()) {
            requeue(task, now);
            return;
        }
        if (!step.spec.mode().gang()) {
            markDone(task);
        } else {
            step.tasks.forEach(this::markDone);
        }
        closeIfDone(step.job, step.occurrence, now);
    }

    private void closeIfDone(JobExecution job, int occurrence, ClockReading now) {
        if (!job.occurrence(occurrence).stream().allMatch(StepExecution::isDone)) {
            return;
        }
        job.closeOccurrence(occurrence, now.wallClockMillis());
        if (job.state == JobState.DONE) {
            targetHealth.removeJob(job.spec.id());
            LOG.infof("done: request=%s age_ms=%s", job.spec.id(), now.wallClockMillis() - job.spec.acceptedMillis());
        }
    }

    /**
     * Completes the progress of a restored job whose last batch was read in part: the end of one member of a gang is
     * that of the others, and an occurrence is done with its last task.
     */
    void completeRestored(JobExecution job, ClockReading now) {
        if (job.state.isTerminal()) {
            return;
        }
        for (int occurrence : job.openOccurrenceNumbers()) {
            for (StepExecution step : job.occurrence(occurrence)) {
                if (step.spec.mode().gang() && step.doneTaskCount > 0 && !step.isDone()) {
                    step.tasks.forEach(this::markDone);
                    outbox.markChanged(job);
                }
            }
            closeIfDone(job, occurrence, now);
        }
    }

    private void markDone(TaskExecution task) {
        if (task.phase == Phase.DONE) {
            return;
        }
        detach(task, Phase.DONE);
        settleUnreported(task);
        task.step.doneTaskCount++;
        if (task.step.isDone()) {
            estimates.forget(task.step);
        }
    }

    /** Returns a task whose run has ended to the waiting phase, and stops the rest of its gang. */
    void requeue(TaskExecution task, ClockReading now) {
        boolean wasSent = task.phase.mayOccupyTarget();
        task.runEndedNanos = task.confirmedNanos == 0 ? task.runEndedNanos : now.monotonicNanos();
        detach(task, Phase.WAITING);
        outbox.markChanged(task.step.job);
        if (!task.step.spec.mode().gang()) {
            return;
        }
        for (TaskExecution member : task.step.tasks) {
            if (wasSent || member.phase == Phase.RESERVED) {
                cancelReservationOrStop(member, now);
            }
        }
    }

    /** Forgets the runs of the task that have ended without a report, as their ends do not matter any more. */
    private static void settleUnreported(TaskExecution task) {
        List.copyOf(task.unreportedRuns.values()).forEach(UnreportedRun::settle);
    }

    /** Ends {@code job} as failed and stops its runs if its counted failures are as many as its attempts. */
    void failIfExhausted(TaskExecution counter, ClockReading now) {
        JobExecution job = counter.step.job;
        int failures = counter.failedRuns.size();
        if (failures < job.spec.terms().attempts() || job.state.isTerminal()) {
            return;
        }
        job.end(JobState.FAILED, now.wallClockMillis());
        stopAll(job, now);
        LOG.infof("fail: request=%s task=%s failures=%s", job.spec.id(), counter.id, failures);
    }

    /** Stops all runs of {@code job} and cancels its reservations. */
    void stopAll(JobExecution job, ClockReading now) {
        targetHealth.removeJob(job.spec.id());
        job.tasks().forEach(task -> cancelReservationOrStop(task, now));
        job.tasks().forEach(TaskLifecycle::settleUnreported);
        job.openOccurrences().forEach(steps -> steps.forEach(estimates::forget));
    }

    /** Cancels the reservation of the task, or stops its run if it is not stopping yet. */
    private void cancelReservationOrStop(TaskExecution task, ClockReading now) {
        if (task.phase == Phase.RESERVED) {
            cancelReservation(task);
        } else if (task.phase == Phase.STARTING || task.phase == Phase.RUNNING) {
            stop(task, now);
        }
    }

    /** Returns a reserved task to the waiting phase. */
    void cancelReservation(TaskExecution task) {
        detach(task, Phase.WAITING);
    }

    /** Sends a stop command for the newest run of the task. */
    void stop(TaskExecution task, ClockReading now) {
        task.stopSentNanos = now.monotonicNanos();
        if (task.phase != Phase.STOPPING) {
            task.stoppingSinceNanos = now.monotonicNanos();
        }
        task.target.put(task, Phase.STOPPING);
        outbox.addStop(task.target.id, task.incarnation, task.id, task.lastRun);
    }

    /** Removes the task from its target, if it has one, and sets its phase to {@code phase}. */
    private void detach(TaskExecution task, Phase phase) {
        if (task.target != null) {
            task.target.remove(task, phase);
        }
        task.phase = phase;
        task.confirmedNanos = 0;
    }
}
