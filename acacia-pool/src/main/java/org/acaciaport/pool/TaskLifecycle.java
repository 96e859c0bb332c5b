package org.acaciaport.pool;

import java.util.List;
import org.jboss.logging.Logger;

/**
 * The state transitions of tasks when runs end or have to be stopped, and their effect on the gang and the job.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 */
final class TaskLifecycle {
    private static final Logger LOG = Logger.getLogger(TaskLifecycle.class);

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

    private final Outbox outbox;
    private final TargetHealth targetHealth;
    private final RunEstimates estimates;
    private final EstimateErrors estimateErrors = new EstimateErrors();
    final DeclaredDurations declaredDurations = new DeclaredDurations();

    TaskLifecycle(Outbox outbox, TargetHealth targetHealth, RunEstimates estimates) {
        this.outbox = outbox;
        this.targetHealth = targetHealth;
        this.estimates = estimates;
    }

    /**
     * Handles the end of a run that {@code target} reported. Has no effect if {@code task} is null or has a newer run.
     * A successful end counts even if the task was already taken off its target.
     */
    void handleEnd(TaskExecution task, TargetState target, TargetReport.Ended end, ClockReading now) {
        boolean current =
                task != null && task.lastRun == end.run() && task.phase.mayOccupyTarget() && task.target == target;
        boolean detached = task != null && task.lastRun == end.run() && !task.phase.mayOccupyTarget();
        LOG.infof(
                "end: request=%s task=%s run=%s target=%s how=%s number=%s current=%s",
                end.task().job(), end.task(), end.run(), target.id, end.reason(), end.number(), current);
        if (!current && !(detached && end.reason() == TargetReport.EndReason.DONE && task.phase != Phase.DONE)) {
            return;
        }
        if (!end.checkpoint().isEmpty()) {
            saveCheckpoint(task, end.checkpoint());
        }
        outbox.markChanged(task.step.job);
        switch (end.reason()) {
            case DONE -> {
                targetHealth.recordSuccess(target, now);
                recordDuration(task, now);
                estimates.recordCompleted(task, now);
                handleDone(task, now);
            }
            case FAILED -> {
                targetHealth.recordFailure(task.id.job(), target, now);
                estimates.recordInterrupted(task, now);
                handleFailed(task, now);
            }
            case STOPPED, LAPSED, BROKEN, ALONE -> {
                estimates.recordInterrupted(task, now);
                requeue(task, now);
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
            requeue(last, now);
        }
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

    private void handleDone(TaskExecution task, ClockReading now) {
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
        task.step.doneTaskCount++;
        if (task.step.isDone()) {
            estimates.forget(task.step);
        }
    }

    private void handleFailed(TaskExecution task, ClockReading now) {
        StepExecution step = task.step;
        TaskExecution counter = step.spec.mode().gang() ? step.tasks.get(0) : task;
        if (step.lastFailedRun != task.lastRun || !step.spec.mode().gang()) {
            counter.failures++;
            step.lastFailedRun = task.lastRun;
        }
        JobExecution job = step.job;
        boolean attemptsExhausted = !step.spec.mode().lasting()
                && counter.failures >= job.spec.terms().attempts();
        requeue(task, now);
        if (attemptsExhausted && !job.state.isTerminal()) {
            job.end(JobState.FAILED, now.wallClockMillis());
            stopAll(job, now);
            LOG.infof("fail: request=%s task=%s failures=%s", job.spec.id(), task.id, counter.failures);
        }
    }

    /** Returns a task whose run has ended to the waiting phase, and stops the rest of its gang. */
    void requeue(TaskExecution task, ClockReading now) {
        boolean wasSent = task.phase.mayOccupyTarget();
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

    /** Stops all runs of {@code job} and cancels its reservations. */
    void stopAll(JobExecution job, ClockReading now) {
        targetHealth.removeJob(job.spec.id());
        job.tasks().forEach(task -> cancelReservationOrStop(task, now));
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
        stop(task, now);
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
            stop(task, now);
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
            stop(task, now);
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

    /** Removes the task from its target, if it has one, and sets its phase to {@code phase}. */
    private void detach(TaskExecution task, Phase phase) {
        if (task.target != null) {
            task.target.remove(task, phase);
        }
        task.phase = phase;
        task.confirmedNanos = 0;
    }
}
