package org.acaciaport.estimate;

import static java.util.Objects.requireNonNull;

import org.acaciaport.estimate.StepDurations.Observation;
import org.acaciaport.estimate.StepDurations.StepState;

/**
 * Durations of work and speeds of targets, learned from runs.
 *
 * <p>What the runs of a step show is first kept with the step. Once the step is forgotten, it counts as at most one
 * observation of its queue and account, however many tasks it had. Observations that are not finite or not above 0 are
 * ignored. No promise depends on these estimates.
 *
 * <p>Deterministic and without I/O. Mutable and not thread-safe; confined to the thread of the pool.
 */
public final class Estimates {
    /** Share of an observation from which a step tells something about its queue. */
    private static final double MIN_SHARE = 0.05;

    /** Largest relative deviation of an observation. */
    private static final double MAX_RELATIVE_DEVIATION = 10;

    private RunTimes runTimes = new RunTimes();
    private TargetSpeeds speeds = new TargetSpeeds();
    private StepDurations steps = new StepDurations(speeds);
    private final EstimateAccuracy accuracy = new EstimateAccuracy();

    /** Returns the distribution of the duration of {@code work} at nominal speed. */
    public Distribution expected(Work work) {
        return runTimes.expected(work);
    }

    /** Returns the distribution of the duration of a task of {@code step}, at nominal speed, from its runs so far. */
    public Distribution expectedOfStep(String step, Work work) {
        StepState state = steps.get(requireNonNull(step));
        return state == null
                ? runTimes.expected(work)
                : new Distribution(state.mean, Math.sqrt(state.variance + StepDurations.TASK_VARIANCE));
    }

    /** Returns the speed of {@code target}; the prior if this incarnation has not been observed. */
    public TargetSpeeds.Speed speed(String target, long incarnation, long nowNanos) {
        return speeds.speed(target, incarnation, nowNanos);
    }

    /** Returns whether the known speeds differ by more than 10%. */
    public boolean speedsDiffer() {
        return speeds.speedsDiffer();
    }

    /** Returns how far declared and learned durations were from actual ones. */
    public EstimateAccuracy accuracy() {
        return accuracy;
    }

    /**
     * Records the progress of a run.
     *
     * @param step identifies the step among all running ones
     * @param work a task of the step
     * @param run identifies the run among those of the step
     * @param projectedSeconds full duration on the target as projected from its progress, in seconds
     * @param relativeDeviation standard deviation of the projection, relative to it; 0 or above
     * @param nowNanos reading of a monotonic clock
     */
    public void recordProgress(
            String step,
            Work work,
            String target,
            long incarnation,
            String run,
            double projectedSeconds,
            double relativeDeviation,
            long nowNanos) {
        if (relativeDeviation >= 0) {
            double deviation = Math.min(MAX_RELATIVE_DEVIATION, relativeDeviation);
            observe(
                    step,
                    work,
                    new Observation(target, incarnation, run, projectedSeconds, deviation, false),
                    nowNanos);
        }
    }

    /** Records that a run has completed after {@code seconds}; see {@link #recordProgress} for the parameters. */
    public void recordCompleted(
            String step, Work work, String target, long incarnation, String run, double seconds, long nowNanos) {
        observe(step, work, new Observation(target, incarnation, run, seconds, 0, true), nowNanos);
    }

    private void observe(String step, Work work, Observation observation, long nowNanos) {
        requireNonNull(observation.target());
        requireNonNull(observation.run());
        if (Seconds.valid(observation.seconds())) {
            steps.observe(start(step, work), observation, nowNanos);
        }
    }

    /**
     * Records that a run was stopped, failed or still runs after {@code atLeastSeconds}.
     *
     * <p>Counts once for each run, and not if its progress has been recorded, which tells more.
     */
    public void recordCensored(
            String step, Work work, String target, long incarnation, String run, double atLeastSeconds, long nowNanos) {
        requireNonNull(target);
        requireNonNull(run);
        if (Seconds.valid(atLeastSeconds)) {
            steps.observeCensored(start(step, work), target, incarnation, run, atLeastSeconds, nowNanos);
        }
    }

    private StepState start(String step, Work work) {
        StepState state = steps.get(requireNonNull(step));
        return state != null ? state : steps.start(step, work, runTimes.expected(work));
    }

    /** Records {@code step} as an observation of its queue and account, and forgets it. */
    public void forgetStep(String step) {
        StepState state = steps.remove(requireNonNull(step));
        if (state == null) {
            return;
        }
        double share = state.share();
        if (share < MIN_SHARE) {
            return;
        }
        runTimes.record(state.work, state.observedMean().orElseThrow(), share, state.observedVariance());
        if (state.completed) {
            double learned = state.prior.medianSeconds();
            accuracy.record(state.work.queue(), state.work.declaredSeconds(), learned, Math.exp(state.mean));
        }
    }

    /** Forgets {@code target}, which is no longer registered. */
    public void forgetTarget(String target) {
        speeds.forget(requireNonNull(target));
    }

    /** Returns what has been learned of durations and speeds, in at most 64 KiB as MessagePack. */
    public EstimatesSnapshot snapshot() {
        return new SnapshotEncoder().encode(runTimes, speeds);
    }

    /**
     * Replaces all estimates by those of {@code snapshot}; never fails.
     *
     * @return number of lines that were dropped because they are missing, malformed or out of range
     */
    public int restore(EstimatesSnapshot snapshot) {
        runTimes = new RunTimes();
        speeds = new TargetSpeeds();
        steps = new StepDurations(speeds);
        return new SnapshotDecoder(runTimes, speeds).decode(snapshot);
    }
}
