package org.acaciaport.pool;

import java.util.List;
import java.util.Objects;

/**
 * A submitted job, with the settings of its queue at the time of acceptance.
 *
 * <p>Immutable. The account and the terms stay those of the acceptance; the pool replaces the service when the
 * operators send the queue to another one.
 *
 * @param id unique id chosen by the caller
 * @param queue name of the queue that the job was submitted to
 * @param service name of the service whose targets run the tasks
 * @param account client account; empty on public queues
 * @param terms scheduling terms of the queue
 * @param payload text passed to each task
 * @param steps steps of the job; a step depends only on earlier ones
 * @param schedule times at which the steps run
 * @param acceptedMillis time of acceptance, in milliseconds since the Unix epoch
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
    private static final double PERCENT = 100;

    /**
     * Creates a job with an immutable copy of {@code steps}.
     *
     * @throws IllegalArgumentException if a step depends on a step that is not an earlier one
     */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(account, "account");
        Objects.requireNonNull(terms, "terms");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(schedule, "schedule");
        steps = List.copyOf(steps);
        for (int i = 0; i < steps.size(); i++) {
            for (int earlier : steps.get(i).after()) {
                if (earlier < 0 || earlier >= i) {
                    throw new IllegalArgumentException("step " + i + " of job " + id + " depends on step " + earlier);
                }
            }
        }
    }

    /**
     * The scheduling terms of a queue.
     *
     * @param priority priority of the jobs; 0 is the highest
     * @param attempts number of failures of one task or gang after which the job fails
     * @param stretch factor applied to the critical path of the job to obtain its completion-time objective
     * @param objectiveMillis constant part of the objective, in milliseconds
     */
    public record Terms(int priority, int attempts, double stretch, long objectiveMillis) {}

    /**
     * The times at which the steps of a job run.
     *
     * @param times number of occurrences; 0 for a single one that is due at acceptance
     * @param firstMillis due time of the first occurrence, in milliseconds since the Unix epoch
     * @param intervalMillis time between due times of successive occurrences, in milliseconds
     */
    public record Schedule(int times, long firstMillis, long intervalMillis) {
        /** A single occurrence that is due at acceptance. */
        public static final Schedule NOW = new Schedule(0, 0, 0);
    }

    /** Returns this job with {@code other} as the service whose targets run the tasks. */
    public Job withService(String other) {
        return new Job(id, queue, other, account, terms, payload, steps, schedule, acceptedMillis);
    }

    /** Returns the number of occurrences. */
    public int occurrenceCount() {
        return Math.max(1, schedule.times());
    }

    /**
     * Returns whether occurrence {@code number} is due at {@code nowMillis}. A job without a schedule always is: the
     * clock of the node that accepted it may be ahead.
     */
    boolean isDue(int number, long nowMillis) {
        return schedule.times() == 0 || dueMillis(number) <= nowMillis;
    }

    /** Returns the due time of occurrence {@code number}, in milliseconds since the Unix epoch. */
    public long dueMillis(int number) {
        return schedule.times() == 0 ? acceptedMillis : schedule.firstMillis() + number * schedule.intervalMillis();
    }

    /** Returns until when the first occurrence is of use, in milliseconds since the Unix epoch. */
    public long latestUsefulEndMillis() {
        return Objective.of(this).latestUsefulEndMillis(0);
    }

    /** Returns the same if the steps take up to {@code percent} of their declared durations, at least 100. */
    public long latestUsefulEndMillis(int percent) {
        return Math.max(latestUsefulEndMillis(), stretched(percent).latestUsefulEndMillis(0));
    }

    /** Returns the latest start at which the first occurrence is of use, in milliseconds since the Unix epoch. */
    public long latestUsefulStartMillis() {
        return Objective.of(this).latestUsefulStartMillis(0);
    }

    /** Returns the same if the steps take up to {@code percent} of their declared durations, at least 100. */
    public long latestUsefulStartMillis(int percent) {
        return Math.max(latestUsefulStartMillis(), stretched(percent).latestUsefulStartMillis(0));
    }

    private Objective stretched(int percent) {
        return Objective.of(this, number -> steps.get(number).estimateSeconds() * percent / PERCENT);
    }

    /**
     * Returns the accelerators that the tasks of the largest step need together; gangs beyond the limit of an account
     * with {@code terms} do not count, as they cannot start.
     */
    public long largestStepAccelerators(AccountTerms terms) {
        long largest = 0;
        for (Step step : steps) {
            if (step.mode().gang() && !terms.isWithinLimit(Resources.sumOf(step.demand(), step.count()))) {
                continue;
            }
            largest = Math.max(largest, step.count() * step.demand().accelerators());
        }
        return largest;
    }
}
