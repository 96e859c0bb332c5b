package org.acaciaport.pool;

import java.util.List;

/**
 * The cost of stopping, or of waiting for, a gang or a single task.
 *
 * <p>Static functions of the tasks and the clock reading.
 */
final class VictimCost {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Maximum run time lost when a task with checkpoints is stopped, in seconds: the time between two checkpoints. */
    private static final double MAX_CHECKPOINTED_LOSS_SECONDS = 0.5;

    /** Typical time until a stopped task runs again, in seconds. */
    private static final double PREEMPTION_DELAY_SECONDS = 1.5;

    /** Cost factor of stopping a task of the highest priority. */
    private static final int HIGHEST_PRIORITY_WEIGHT = 5;

    /** Minimum cost of a victim, in core-seconds, so that a run that has only just started is not stopped for free. */
    private static final double MIN_LOSS_CORE_SECONDS = 1.0;

    private VictimCost() {}

    /**
     * Returns the work lost by stopping {@code tasks} of one step, in core-seconds. Work that was stopped for them
     * counts as lost with them, as they will displace others again.
     */
    static double lostCoreSeconds(List<TaskExecution> tasks, ClockReading now) {
        double cost = MIN_LOSS_CORE_SECONDS + tasks.get(0).step.displacedCoreSeconds;
        for (TaskExecution task : tasks) {
            if (task.phase == Phase.RUNNING) {
                cost += lostCoreSeconds(task, now);
            }
        }
        return cost;
    }

    /** Returns the time until the last of {@code tasks} ends by itself, in seconds. */
    static double remainingSeconds(List<TaskExecution> tasks, ClockReading now) {
        double longest = 0;
        for (TaskExecution task : tasks) {
            if (task.phase == Phase.RUNNING) {
                longest = Math.max(longest, task.remainingSeconds(now));
            }
        }
        return longest;
    }

    private static double lostCoreSeconds(TaskExecution task, ClockReading now) {
        double runSeconds = now.secondsSince(task.confirmedNanos);
        boolean checkpoints = task.step.spec.mode().checkpoint();
        double lostSeconds = checkpoints ? Math.min(runSeconds, MAX_CHECKPOINTED_LOSS_SECONDS) : runSeconds;
        double costSeconds = lostSeconds + delayCostSeconds(task, runSeconds, now);
        return task.demand().coreEquivalents() * costSeconds * costMultiplier(task);
    }

    /**
     * Returns the factor for the cost of stopping a task. Tasks of the highest priority have little slack, so a stop
     * makes them late; earlier preemptions raise the factor so that they do not always hit the same step.
     */
    private static int costMultiplier(TaskExecution task) {
        int weight = task.job().terms().priority() == 0 ? HIGHEST_PRIORITY_WEIGHT : 1;
        return weight * (1 + task.step.preemptionCount);
    }

    /**
     * Returns the cost of the delay caused by a stop, as seconds of lost work: highest for a job that would just meet
     * its objective without the stop, and 0 for one that misses it anyway.
     */
    private static double delayCostSeconds(TaskExecution task, double runSeconds, ClockReading now) {
        double slackSeconds = task.step.slackMillis(now) / MILLIS_PER_SECOND + runSeconds;
        if (slackSeconds < 0) {
            return 0;
        }
        return slackSeconds < PREEMPTION_DELAY_SECONDS
                ? PREEMPTION_DELAY_SECONDS
                : PREEMPTION_DELAY_SECONDS * PREEMPTION_DELAY_SECONDS / slackSeconds;
    }
}
