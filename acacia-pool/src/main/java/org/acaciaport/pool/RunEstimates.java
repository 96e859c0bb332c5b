package org.acaciaport.pool;

import org.acaciaport.estimate.Distribution;
import org.acaciaport.estimate.EstimateAccuracy;
import org.acaciaport.estimate.Estimates;
import org.acaciaport.estimate.EstimatesSnapshot;
import org.acaciaport.estimate.TargetSpeeds;
import org.acaciaport.estimate.Work;

/**
 * The durations of tasks and the speeds of targets that the pool expects, learned from its runs.
 *
 * <p>While learning is off, declared durations are taken as they are and all targets as equally fast. Each task of a
 * gang advances at the speed of its target, but all end with the slowest, so that only the progress of a gang tells
 * about speeds. Mutable and not thread-safe; confined to the thread of the pool.
 */
final class RunEstimates {
    /** Deviation of a log speed up to which the speed of a target is known. */
    private static final double KNOWN_DEVIATION = 0.2;

    /** Deviation of a log duration from which nothing is known of the duration. */
    private static final double UNKNOWN_DEVIATION = 1.4;

    /** Smallest observed progress that is projected to the whole run, in percent. */
    private static final int MIN_PROGRESS_PERCENT = 15;

    /** Progress of a run that waits for the rest of its gang, and so no longer tells how fast it is, in percent. */
    private static final int COMPLETE_PERCENT = 100;

    /** Shortest observed run time that is projected to the whole run, in seconds. */
    private static final double MIN_PROGRESS_SECONDS = 0.8;

    /** Uncertainty of the moment of a report, in seconds. */
    private static final double REPORT_JITTER_SECONDS = 0.1;

    /** Part of the difference by which the speed that urgent work needs follows a new unit. */
    private static final double URGENT_SPEED_GAIN = 0.1;

    private final Estimates estimates = new Estimates();

    /** Speed that units of the highest priority lately needed on average; 0 before the first. */
    private double urgentSpeed;

    private boolean learning = true;
    private boolean speedPlacement = true;

    /** Switches learning on or off; {@link #resetSpeed} must then be called for each target. */
    void setLearning(boolean learning) {
        this.learning = learning;
    }

    /** Switches the choice of targets by speed on or off. */
    void setSpeedPlacement(boolean speedPlacement) {
        this.speedPlacement = speedPlacement;
    }

    /** Returns what has been learned so far, for the log. */
    EstimatesSnapshot snapshot() {
        return estimates.snapshot();
    }

    /**
     * Replaces what has been learned; {@link #resetSpeed} must then be called for each target.
     *
     * @return number of lines that were dropped because they are missing, malformed or out of range
     */
    int restore(EstimatesSnapshot snapshot) {
        return estimates.restore(snapshot);
    }

    /** Returns how far declared and learned durations were from actual ones. */
    EstimateAccuracy accuracy() {
        return estimates.accuracy();
    }

    /** Returns the expected duration of a task of {@code step} at nominal speed, in seconds. */
    double seconds(StepExecution step) {
        return learning ? seconds(distribution(step), step.spec) : step.spec.estimateSeconds();
    }

    /** Returns the expected duration of a task of step {@code number} of {@code job} at nominal speed, in seconds. */
    double seconds(Job job, int number) {
        Step step = job.steps().get(number);
        return learning ? seconds(estimates.expected(work(job, step)), step) : step.estimateSeconds();
    }

    /** Returns the median, or the declared duration as it is while nothing is known of a step without one. */
    private static double seconds(Distribution distribution, Step step) {
        boolean unknown = step.estimateMillis() == 0 && distribution.logDeviation() >= UNKNOWN_DEVIATION;
        return unknown ? 0 : distribution.medianSeconds();
    }

    private Distribution distribution(StepExecution step) {
        return estimates.expectedOfStep(key(step), work(step.job.spec, step.spec));
    }

    /** Returns the expected duration of a task of {@code step} on {@code target}, in seconds. */
    double secondsOn(StepExecution step, TargetState target) {
        return seconds(step) / target.speed;
    }

    /** Records the speed that a unit of the highest priority needs. */
    void recordUrgentSpeed(double speed) {
        urgentSpeed = urgentSpeed == 0 ? speed : urgentSpeed + URGENT_SPEED_GAIN * (speed - urgentSpeed);
    }

    /** Returns the speed that units of the highest priority lately needed on average; 0 before the first. */
    double urgentSpeed() {
        return urgentSpeed;
    }

    /** Returns whether targets are known to differ in speed, and are to be chosen by it. */
    boolean mayChooseBySpeed() {
        return learning && speedPlacement && estimates.speedsDiffer();
    }

    /** Records the progress of the newest run of {@code task}. */
    void recordProgress(TaskExecution task, ClockReading now) {
        double observedSeconds = task.observedSeconds();
        if (!isMeasured(task)
                || task.gainedPercent() < MIN_PROGRESS_PERCENT
                || task.percent >= COMPLETE_PERCENT
                || observedSeconds < MIN_PROGRESS_SECONDS) {
            return;
        }
        double deviation = 1.0 / task.gainedPercent() + REPORT_JITTER_SECONDS / observedSeconds;
        estimates.recordProgress(
                key(task.step),
                work(task.job(), task.step.spec),
                task.target.id,
                task.target.incarnation,
                runKey(task),
                task.projectedRunSeconds(),
                deviation,
                now.monotonicNanos());
        updateSpeed(task.target, now);
    }

    /** Records that the newest run of {@code task} has completed; must be called while the task is on its target. */
    void recordCompleted(TaskExecution task, ClockReading now) {
        boolean alone = !task.step.spec.mode().gang() || task.step.tasks.size() == 1;
        if (!isMeasured(task) || task.firstPercent != 0 || !alone) {
            return;
        }
        estimates.recordCompleted(
                key(task.step),
                work(task.job(), task.step.spec),
                task.target.id,
                task.target.incarnation,
                runKey(task),
                now.secondsSince(task.confirmedNanos),
                now.monotonicNanos());
        updateSpeed(task.target, now);
    }

    /** Records that the newest run of {@code task} has ended before it completed. */
    void recordInterrupted(TaskExecution task, ClockReading now) {
        boolean jobEnded = task.step.job.state.isTerminal();
        if (isMeasured(task) && task.firstPercent == 0 && !jobEnded) {
            estimates.recordCensored(
                    key(task.step),
                    work(task.job(), task.step.spec),
                    task.target.id,
                    task.target.incarnation,
                    runKey(task),
                    now.secondsSince(task.confirmedNanos),
                    now.monotonicNanos());
        }
    }

    /** Returns whether the newest run of {@code task} tells how long such tasks run. */
    private boolean isMeasured(TaskExecution task) {
        return learning
                && task.target != null
                && task.confirmedNanos != 0
                && task.incarnation == task.target.incarnation
                && !task.step.spec.mode().lasting()
                && !task.step.spec.mode().filling()
                && !task.step.lacksLocality(task);
    }

    private void updateSpeed(TargetState target, ClockReading now) {
        TargetSpeeds.Speed speed = estimates.speed(target.id, target.incarnation, now.monotonicNanos());
        target.speed = speed.factor();
        target.probableSpeed = speed.factor() * Math.exp(-speed.logDeviation());
        target.speedKnown = speed.logDeviation() <= KNOWN_DEVIATION;
    }

    /** Sets the speed of a target after a change of its incarnation, of the estimates or of their use. */
    void resetSpeed(TargetState target, ClockReading now) {
        if (learning && target.incarnation != 0) {
            updateSpeed(target, now);
            return;
        }
        target.speed = 1;
        target.probableSpeed = 0;
        target.speedKnown = false;
    }

    /** Records a step without further runs as an observation of its queue and account. */
    void forget(StepExecution step) {
        estimates.forgetStep(key(step));
    }

    private static Work work(Job job, Step step) {
        return new Work(job.queue(), job.account(), step.estimateSeconds());
    }

    private static String key(StepExecution step) {
        return step.key;
    }

    private static String runKey(TaskExecution task) {
        return task.id.index() + "/" + task.lastRun;
    }
}
