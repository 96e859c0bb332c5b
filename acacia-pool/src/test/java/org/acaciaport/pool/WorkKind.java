package org.acaciaport.pool;

import java.util.List;
import java.util.Random;
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
 * @param unevenness standard deviation of the logarithm of the ratio of the duration of a task to that of its step
 * @param tail jobs that last several times as long as the others
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
        double estimateError,
        double unevenness,
        Tail tail) {
    private static final double TASK_COUNT_RELATIVE_DEVIATION = 0.8;

    /**
     * Jobs that last several times as long as the others of their kind.
     *
     * @param fraction fraction of the jobs
     * @param factor multiple of the usual duration
     */
    record Tail(double fraction, double factor) {
        static final Tail NONE = new Tail(0, 1);
    }

    /** A job, with the true duration of the tasks of each step and the unevenness of its tasks, in seconds. */
    record Sample(Job job, double[] taskSeconds, double unevenness) {
        /**
         * Returns the duration of a task on a target of speed 1, in seconds; the same for each call and for all tasks
         * of a gang.
         */
        double seconds(TaskId task) {
            boolean uneven =
                    unevenness > 0 && !job.steps().get(task.step()).mode().gang();
            double deviation = uneven ? unevenness * new Random(task.hashCode()).nextGaussian() : 0;
            return taskSeconds[task.step()] * Math.exp(deviation);
        }

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
            if (tail.fraction > 0 && random.nextDouble() < tail.fraction) {
                seconds[i] *= tail.factor;
            }
            int tasks =
                    Math.clamp(Math.round(logNormal(meanTasks, TASK_COUNT_RELATIVE_DEVIATION, random)), 1, maxTasks);
            steps[i] = sampleStep(i, tasks, seconds[i], random);
        }
        Job job = new Job(
                id, name, PoolFixture.SERVICE, account, terms, "payload", List.of(steps), Job.Schedule.NOW, millis);
        return new Sample(job, seconds, unevenness);
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

    /** Returns this kind with uneven tasks and a tail of long jobs. */
    WorkKind withSpread(double unevenness, Tail tail) {
        return new WorkKind(
                name,
                perSecond,
                value,
                lateValue,
                terms,
                meanSteps,
                meanTasks,
                maxTasks,
                meanSeconds,
                relativeDeviation,
                maxSeconds,
                cores,
                memoryMb,
                accelerators,
                gang,
                tightFraction,
                checkpointFraction,
                estimateError,
                unevenness,
                tail);
    }

    /** Returns a sample of a log-normal distribution. */
    private static double logNormal(double mean, double relativeDeviation, RandomGenerator random) {
        double variance = Math.log(1 + relativeDeviation * relativeDeviation);
        return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }
}
