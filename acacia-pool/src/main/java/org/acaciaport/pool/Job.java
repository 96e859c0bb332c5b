package org.acaciaport.pool;

import java.util.List;

/**
 * What a caller submitted, with the settings of its queue at that time.
 *
 * <p>Immutable.
 *
 * @param id the caller's id, unique
 * @param queue name of the queue
 * @param service name of the service whose targets run the tasks
 * @param account the client account; empty on public queues
 * @param terms how the queue treats its jobs
 * @param payload text handed to every task
 * @param steps the steps, in order
 * @param schedule when the steps run
 * @param acceptedMillis time of acceptance, in milliseconds since 1970
 */
public record Job(
        String id,
        String queue,
        String service,
        String account,
        Terms terms,
        String payload,
        List<Step> steps,
        Schedule schedule,
        long acceptedMillis) {
    /** Copies the list. */
    public Job {
        steps = List.copyOf(steps);
    }

    /**
     * How a queue treats its jobs.
     *
     * @param priority 0 comes first
     * @param attempts failures of a task or gang after which the job has failed
     * @param stretch objective as a multiple of the longest chain of work
     * @param objectiveMillis time added to the objective, in milliseconds
     */
    public record Terms(int priority, int attempts, double stretch, long objectiveMillis) {}

    /**
     * When the steps of a job run.
     *
     * @param times how often; 0 for once, at once
     * @param firstMillis when they run first, in milliseconds since 1970
     * @param intervalMillis time between two runs, in milliseconds
     */
    public record Schedule(int times, long firstMillis, long intervalMillis) {
        /** Once, at once. */
        public static final Schedule NOW = new Schedule(0, 0, 0);
    }

    /** Returns how often the steps run. */
    public int occurrenceCount() {
        return Math.max(1, schedule.times());
    }

    /** Returns when occurrence {@code number} is due, in milliseconds since 1970. */
    public long dueMillis(int number) {
        return schedule.times() == 0 ? acceptedMillis : schedule.firstMillis() + number * schedule.intervalMillis();
    }
}
