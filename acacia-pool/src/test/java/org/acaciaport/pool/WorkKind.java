package org.acaciaport.pool;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * A kind of request in a deployment, from which random jobs are sampled.
 *
 * @param name name of the kind
 * @param perSecond mean arrival rate, in requests per second
 * @param value value of a request that completes in time
 * @param lateValue value of a request that completes late but within three times its objective
 * @param terms scheduling terms of the queue
 * @param meanSteps mean number of steps, from 1 to 2
 * @param meanTasks mean number of tasks of a step
 * @param maxTasks maximum number of tasks of a step
 * @param meanSeconds mean duration of a task, in seconds
 * @param relativeDeviation relative standard deviation of the duration of a task
 * @param maxSeconds maximum duration of a task, in seconds
 * @param cores cores of a task
 * @param memoryMb memory of a task, in megabytes
 * @param accelerators numbers of accelerators of a task, sampled uniformly
 * @param gang whether the tasks of a step form a gang
 * @param tightFraction fraction of gangs that run slower on several racks
 * @param checkpointFraction fraction of steps that write checkpoints
 * @param estimateError standard deviation of the logarithm of the ratio of estimate to duration
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
        double cores,
        int memoryMb,
        int[] accelerators,
        boolean gang,
        double tightFraction,
        double checkpointFraction,
        double estimateError) {
    private static final double TASK_COUNT_RELATIVE_DEVIATION = 0.8;

    /** A job, with the true duration of the tasks of each step, in seconds. */
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
            int tasks =
                    Math.clamp(Math.round(logNormal(meanTasks, TASK_COUNT_RELATIVE_DEVIATION, random)), 1, maxTasks);
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
                new Resources((long) (cores * 1_000), memoryMb, acceleratorCount),
                Math.max(1, (long) (estimate * 1_000)),
                number == 0 ? List.of() : List.of(number - 1),
                new Step.Constraints("", "", 0, oneRack),
                new Step.Mode(gang, checkpoints, false, false, false, 0));
    }

    /** Returns a sample of a log-normal distribution. */
    private static double logNormal(double mean, double relativeDeviation, RandomGenerator random) {
        double variance = Math.log(1 + relativeDeviation * relativeDeviation);
        return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }
}
