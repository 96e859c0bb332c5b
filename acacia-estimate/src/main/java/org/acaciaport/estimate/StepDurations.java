package org.acaciaport.estimate;

import java.util.Map;
import java.util.OptionalDouble;

/**
 * Durations of the tasks of running steps at nominal speed, estimated jointly with the speeds of targets.
 *
 * <p>An observed log duration is the step's log duration less the target's log speed, plus task-to-task variation and
 * the error of the observation. Like a Kalman filter with two unknowns, an observation moves both in proportion to
 * their variances; the correlation that this leaves between them is dropped.
 *
 * <p>Later projections of a run replace earlier ones: each is split into what was recorded before and an independent
 * remainder, whose precision is the difference of the two precisions, and only the remainder is applied. Together, the
 * projections of a run so count as one observation of the precision of the last.
 *
 * <p>At most {@value #MAX_STEPS} steps and {@value #MAX_RUNS} runs of each are kept; the least recently used is
 * dropped. Mutable and not thread-safe; confined to the thread of the pool.
 */
final class StepDurations {
    static final int MAX_STEPS = 4_000;
    static final int MAX_RUNS = 64;

    /** Variance of the log duration among the tasks of a step, whose durations vary by 15%. */
    static final double TASK_VARIANCE = 0.15 * 0.15;

    /** Growth of the precision of a run's observation from which a new projection is applied. */
    private static final double MIN_PRECISION_GROWTH = 1.1;

    /** Number of expected runs from which a surprising one does not make the duration of the step uncertain. */
    private static final int SETTLED_RUNS = 1;

    private final RunTimes.LruMap<String, StepState> steps = new RunTimes.LruMap<>(MAX_STEPS);
    private final TargetSpeeds speeds;

    StepDurations(TargetSpeeds speeds) {
        this.speeds = speeds;
    }

    /**
     * An observation of the duration of a run.
     *
     * @param run identifies the run among those of its step
     * @param seconds full duration on the target, in seconds
     * @param relativeDeviation standard deviation of {@code seconds} relative to it
     * @param completed whether the run has completed; such an observation is always applied
     */
    record Observation(
            String target, long incarnation, String run, double seconds, double relativeDeviation, boolean completed) {}

    /** What is known of a step. */
    static final class StepState {
        final Work work;
        final Distribution prior;
        double mean;
        double variance;
        boolean completed;

        /** Largest variance so far. */
        private double widest;

        /** Number of runs whose first projection was as expected. */
        private int expectedRuns;

        private final Map<String, RunState> runs = new RunTimes.LruMap<>(MAX_RUNS);

        StepState(Work work, Distribution prior) {
            this.work = work;
            this.prior = prior;
            this.mean = prior.logMedian();
            this.variance = prior.variance();
            this.widest = variance;
        }

        /** Returns the part of the largest variance that the observations have removed, from 0 to 1. */
        double share() {
            return Math.clamp(1 - variance / widest, 0, 1);
        }

        /** Returns the variance of {@link #observedMean}, given a share above 0. */
        double observedVariance() {
            double share = share();
            return widest * (1 - share) / share;
        }

        /** Returns the log duration that the observations alone give, without the prior; empty without any. */
        OptionalDouble observedMean() {
            double share = share();
            return share > 0
                    ? OptionalDouble.of(prior.logMedian() + (mean - prior.logMedian()) / share)
                    : OptionalDouble.empty();
        }
    }

    /** What has been applied of a run. */
    private static final class RunState {
        double logSeconds;
        double precision;
        double speedChange;
        boolean censored;

        /** Whether the run has been compared with the speed of its target. */
        boolean counted;
    }

    /** Returns the state of {@code step}, or null if it has not been observed. */
    StepState get(String step) {
        return steps.get(step);
    }

    /** Returns the state of {@code step}, which starts from {@code prior} if it has not been observed. */
    StepState start(String step, Work work, Distribution prior) {
        return steps.computeIfAbsent(step, name -> new StepState(work, prior));
    }

    /** Removes and returns the state of {@code step}, or null if it has not been observed. */
    StepState remove(String step) {
        return steps.remove(step);
    }

    void clear() {
        steps.clear();
    }

    int size() {
        return steps.size();
    }

    /** Applies {@code observation} to {@code step} and to the speed of its target. */
    void observe(StepState step, Observation observation, long nowNanos) {
        RunState run = step.runs.computeIfAbsent(observation.run, name -> new RunState());
        double deviation = observation.relativeDeviation;
        double precision = 1 / (TASK_VARIANCE + deviation * deviation);
        double least = run.precision * MIN_PRECISION_GROWTH;
        if (precision < least && !observation.completed) {
            return;
        }
        TargetSpeeds.State speed = speeds.observed(observation.target, observation.incarnation, nowNanos);
        if (speed == null) {
            return;
        }
        double sum = Math.max(precision, least);
        double added = sum - run.precision;
        double y = Seconds.log(observation.seconds);
        double remainder = (y * sum - run.logSeconds * run.precision) / added;
        double applied = apply(step, speed, run, remainder, 1 / added);
        run.logSeconds = (run.logSeconds * run.precision + applied * added) / sum;
        if (!run.counted && (run.precision > 0 || observation.completed)) {
            // The first projections of the other runs of the step are known by now, which tell slow work from targets.
            run.counted = true;
            count(step, speed, run, y, 1 / sum);
        }
        run.precision = sum;
        step.completed |= observation.completed;
    }

    /** Applies a log duration with variance {@code noise}; returns it after outliers are cut. */
    private static double apply(StepState step, TargetSpeeds.State speed, RunState run, double y, double noise) {
        double predicted = step.mean - speed.mean;
        double innovation = y - predicted;
        if (run.precision == 0) {
            widen(step, innovation, speed.variance + noise);
        }
        double total = step.variance + speed.variance + noise;
        double limit = TargetSpeeds.SURPRISE_DEVIATIONS * Math.sqrt(total);
        double cut = Math.clamp(innovation, -limit, limit);
        double stepGain = step.variance / total;
        double speedGain = speed.variance / total;
        step.mean = Seconds.clampLog(step.mean + stepGain * cut);
        step.variance *= 1 - stepGain;
        if (changeSpeed(speed, run, -speedGain * cut)) {
            speed.variance *= 1 - speedGain;
        }
        return predicted + cut;
    }

    /** Compares a run with the speed of its target; if the speed has changed, all of the run counts for the new one. */
    private static void count(StepState step, TargetSpeeds.State speed, RunState run, double y, double noise) {
        // The only run of a step has moved the step itself, so that it is compared with what was expected before.
        boolean alone = step.runs.size() == 1;
        double innovation = y - (alone ? step.prior.logMedian() : step.mean) + speed.mean;
        double otherVariance = (alone ? step.prior.variance() : step.variance) + noise;
        if (!speed.countRun(innovation, otherVariance)) {
            return;
        }
        double gain = speed.variance / (speed.variance + otherVariance);
        if (changeSpeed(speed, run, -gain * innovation)) {
            speed.variance *= 1 - gain;
        }
    }

    /**
     * Makes the duration of a step less certain if one of its first runs is far from it: then the step is unlike others
     * of its queue, and the target is not to blame.
     */
    private static void widen(StepState step, double innovation, double otherVariance) {
        double deviations = Math.abs(innovation) / TargetSpeeds.SURPRISE_DEVIATIONS;
        double explaining = deviations * deviations - otherVariance;
        if (explaining <= step.variance) {
            step.expectedRuns++;
        } else if (step.expectedRuns < SETTLED_RUNS) {
            step.variance = explaining;
            step.widest = Math.max(step.widest, explaining);
        }
    }

    /** Moves a speed as far as one run may; returns whether it could be moved by all of {@code change}. */
    private static boolean changeSpeed(TargetSpeeds.State speed, RunState run, double change) {
        double wanted = run.speedChange + change;
        double allowed = Math.clamp(wanted, -TargetSpeeds.MAX_CHANGE, TargetSpeeds.MAX_CHANGE);
        speed.move(allowed - run.speedChange);
        run.speedChange = allowed;
        return wanted == allowed;
    }

    /** Applies that a run lasted at least that long; counts once for each run, and not after a projection. */
    void observeCensored(
            StepState step, String target, long incarnation, String name, double atLeastSeconds, long now) {
        RunState run = step.runs.computeIfAbsent(name, key -> new RunState());
        if (run.censored || run.precision > 0) {
            return;
        }
        TargetSpeeds.State speed = speeds.observed(target, incarnation, now);
        if (speed == null) {
            return;
        }
        run.censored = true;
        double total = step.variance + speed.variance + TASK_VARIANCE;
        double z = (Seconds.log(atLeastSeconds) - step.mean + speed.mean) / Math.sqrt(total);
        double hazard = Normal.hazard(z);
        double share = Math.clamp(hazard * (hazard - z), 0, 1);
        double shift = Math.min(hazard, TargetSpeeds.SURPRISE_DEVIATIONS) / Math.sqrt(total);
        step.mean = Seconds.clampLog(step.mean + step.variance * shift);
        step.variance *= 1 - step.variance / total * share;
        if (changeSpeed(speed, run, -speed.variance * shift)) {
            speed.variance *= 1 - speed.variance / total * share;
        }
    }
}
