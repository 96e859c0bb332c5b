package org.acaciaport.pool;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One kind of request of a deployment, from which jobs are drawn.
 *
 * @param name what it is called
 * @param perSecond mean number of requests a second
 * @param worth worth of a request in time
 * @param lateWorth worth of a request that is late but within three times its objective
 * @param terms how its queue treats jobs
 * @param meanSteps mean number of steps
 * @param meanTasks mean number of tasks of a step
 * @param mostTasks largest number of tasks of a step
 * @param meanSeconds mean duration of a task
 * @param spread relative standard deviation of durations
 * @param mostSeconds longest duration of a task
 * @param cores processors of a task
 * @param memoryMb memory of a task, in megabytes
 * @param accelerators numbers of accelerators of a task, drawn evenly
 * @param gang whether the tasks work only together
 * @param tight share of gangs that slow down on several racks
 * @param saving share of jobs that save their progress
 * @param estimateError standard deviation of the logarithm of estimate over duration
 */
record WorkKind(
        String name,
        double perSecond,
        double worth,
        double lateWorth,
        Job.Terms terms,
        double meanSteps,
        double meanTasks,
        int mostTasks,
        double meanSeconds,
        double spread,
        double mostSeconds,
        int cores,
        int memoryMb,
        int[] accelerators,
        boolean gang,
        double tight,
        double saving,
        double estimateError) {
    private static final double TASK_SPREAD = 0.8;

    /** A job and what its tasks really take. */
    record Drawn(Job job, double[] seconds) {
        double chainSeconds() {
            double sum = 0;
            for (double each : seconds) {
                sum += each;
            }
            return sum;
        }
    }

    Drawn draw(String id, String account, long millis, RandomGenerator random) {
        int count = 1 + (random.nextDouble() < meanSteps - 1 ? 1 : 0);
        Step[] steps = new Step[count];
        double[] seconds = new double[count];
        for (int i = 0; i < count; i++) {
            seconds[i] = Math.min(mostSeconds, skewed(meanSeconds, spread, random));
            int tasks = Math.clamp(Math.round(skewed(meanTasks, TASK_SPREAD, random)), 1, mostTasks);
            steps[i] = step(i, tasks, seconds[i], random);
        }
        Job job = new Job(
                id, name, PoolFixture.SERVICE, account, terms, "payload", List.of(steps), Job.Schedule.NOW, millis);
        return new Drawn(job, seconds);
    }

    private Step step(int number, int tasks, double seconds, RandomGenerator random) {
        int taken = accelerators[random.nextInt(accelerators.length)];
        boolean saves = random.nextDouble() < saving;
        boolean oneRack = gang && tasks > 1 && random.nextDouble() < tight;
        double estimate = seconds * Math.exp(estimateError * random.nextGaussian());
        return new Step(
                tasks,
                new Resources(cores * 1_000L, memoryMb, taken),
                Math.max(1, (long) (estimate * 1_000)),
                number == 0 ? List.of() : List.of(number - 1),
                new Step.Constraints("", "", 0, oneRack),
                new Step.Mode(gang, saves, false, false, false, 0));
    }

    /** Draws from a log-normal distribution. */
    private static double skewed(double mean, double relative, RandomGenerator random) {
        double variance = Math.log(1 + relative * relative);
        return mean * Math.exp(Math.sqrt(variance) * random.nextGaussian() - variance / 2);
    }
}
