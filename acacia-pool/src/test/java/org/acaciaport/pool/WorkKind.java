package org.acaciaport.pool;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One kind of request of a deployment, from which jobs are drawn.
 *
 * @param name what it is called
 * @param perSecond mean number of requests a second
 * @param value worth of a request in time
 * @param lateValue worth of a request that is late but within three times its objective
 * @param terms how its queue treats jobs
 * @param meanSteps mean number of steps
 * @param meanTasks mean number of tasks of a step
 * @param maxTasks largest number of tasks of a step
 * @param meanSeconds mean duration of a task
 * @param relativeDeviation relative standard deviation of durations
 * @param maxSeconds longest duration of a task
 * @param cores processors of a task
 * @param memoryMb memory of a task, in megabytes
 * @param accelerators numbers of accelerators of a task, drawn evenly
 * @param gang whether the tasks work only together
 * @param tightFraction share of gangs that slow down on several racks
 * @param checkpointFraction share of jobs that save their progress
 * @param estimateError standard deviation of the logarithm of estimate over duration
 */
record WorkKind(
        String name,
        double perSecond,
        double value,
        double lateValue,
        Job.Terms terms,
        double meanSteps,
        double meanTasks,
        int maxTasks,
        double meanSeconds,
        double relativeDeviation,
        double maxSeconds,
        int cores,
        int memoryMb,
        int[] accelerators,
        boolean gang,
        double tightFraction,
        double checkpointFraction,
        double estimateError) {
    private static final double TASK_SPREAD = 0.8;

    /** A job and what its tasks really take. */
    record Sample(Job job, double[] taskSeconds) {
        double criticalPathSeconds() {
            double sum = 0;
            for (double each : taskSeconds) {
                sum += each;
            }
            return sum;
        }
    }

    Sample sample(String id, String account, long millis, RandomGenerator random) {
        int count = 1 + (random.nextDouble() < meanSteps - 1 ? 1 : 0);
        Step[] steps = new Step[count];
        double[] seconds = new double[count];
        for (int i = 0; i < count; i++) {
            seconds[i] = Math.min(maxSeconds, logNormal(meanSeconds, relativeDeviation, random));
            int tasks = Math.clamp(Math.round(logNormal(meanTasks, TASK_SPREAD, random)), 1, maxTasks);
            steps[i] = sampleStep(i, tasks, seconds[i], random);
        }
        Job job = new Job(
                id, name, PoolFixture.SERVICE, account, terms, "payload", List.of(steps), Job.Schedule.NOW, millis);
        return new Sample(job, seconds);
    }

    private Step sampleStep(int number, int tasks, double seconds, RandomGenerator random) {
        int acceleratorCount = accelerators[random.nextInt(accelerators.length)];
        boolean checkpoints = random.nextDouble() < checkpointFraction;
        boolean oneRack = gang && tasks > 1 && random.nextDouble() < tightFraction;
        double estimate = seconds * Math.exp(estimateError * random.nextGaussian());
        return new Step(
                tasks,
                new Resources(cores * 1_000L, memoryMb, acceleratorCount),
                Math.max(1, (long) (estimate * 1_000)),
                number == 0 ? List.of() : List.of(number - 1),
                new Step.Constraints("", "", 0, oneRack),
                new Step.Mode(gang, checkpoints, false, false, false, 0));
    }

    /** Draws from a log-normal distribution. */
    private static double logNormal(double mean, double relativeDeviation, RandomGenerator random) {
        double variance = Math.log(1 + relativeDeviation * relativeDeviation);
        return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }
}
