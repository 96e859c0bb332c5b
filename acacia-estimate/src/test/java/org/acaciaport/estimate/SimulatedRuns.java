package org.acaciaport.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Plays steps of tasks on targets of given speeds and reports them to estimates; deterministic for a seed. */
final class SimulatedRuns {
    static final double TASK_DEVIATION = 0.15;
    static final double STEP_DEVIATION = 0.3;
    private static final double TAIL_FACTOR = 7;
    private static final double[] PROGRESS = {0.1, 0.3, 0.7, 1};
    static final long SECOND = 1_000_000_000L;

    final Estimates estimates = new Estimates();
    final Random random;
    final List<Double> speeds = new ArrayList<>();
    /** Probability that a run lasts seven times as long. */
    double tail;

    long now;
    private int steps;

    SimulatedRuns(long seed, int targets, double... cycle) {
        random = new Random(seed);
        for (int i = 0; i < targets; i++) {
            speeds.add(cycle[i % cycle.length]);
        }
    }

    static String name(int target) {
        return "worker-" + target;
    }

    /** Plays a step of {@code queue} with usual duration {@code median} on random targets; returns its name. */
    String step(String queue, double median, int tasks) {
        List<Integer> targets = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            targets.add(random.nextInt(speeds.size()));
        }
        return step(queue, median, targets);
    }

    /** Plays a step whose tasks run side by side, one on each of {@code targets}, with projections and ends. */
    String step(String queue, double median, List<Integer> targets) {
        String step = "step-" + steps++;
        double duration = median * Math.exp(STEP_DEVIATION * random.nextGaussian());
        Work work = new Work(queue, "account", duration * (0.1 + 1.8 * random.nextDouble()));
        double[] seconds = new double[targets.size()];
        for (int i = 0; i < seconds.length; i++) {
            seconds[i] = duration * Math.exp(TASK_DEVIATION * random.nextGaussian()) / speeds.get(targets.get(i));
            if (tail > 0 && random.nextDouble() < tail) {
                seconds[i] *= TAIL_FACTOR;
            }
        }
        for (double progress : PROGRESS) {
            for (int i = 0; i < seconds.length; i++) {
                report(step, work, targets.get(i), "run-" + i, seconds[i], progress);
            }
        }
        estimates.forgetStep(step);
        now += SECOND;
        return step;
    }

    /** Reports all of a run that takes {@code seconds}. */
    void run(String step, Work work, int target, String run, double seconds) {
        for (double progress : PROGRESS) {
            report(step, work, target, run, seconds, progress);
        }
    }

    private void report(String step, Work work, int target, String run, double seconds, double progress) {
        if (progress == 1) {
            estimates.recordCompleted(step, work, name(target), 1, run, seconds, now);
            return;
        }
        double deviation = 0.01 / progress;
        double projected = seconds * (1 + deviation * (2 * random.nextDouble() - 1));
        estimates.recordProgress(step, work, name(target), 1, run, projected, deviation, now);
    }

    double speed(int target) {
        return estimates.speed(name(target), 1, now).factor();
    }
}
