package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;

/**
 * When a job should be done.
 *
 * <p>Immutable.
 *
 * @param job the job
 * @param criticalPathMillis estimated longest chain of its steps, in milliseconds
 */
record Objective(Job job, long criticalPathMillis) {
    /** How many times its objective a late job may take and still be of use. */
    private static final int LATE_LIMIT_FACTOR = 3;

    /** What an end of an occurrence is still worth, if it began now. The order is that in which work is taken up. */
    enum DeadlineStatus {
        /** It can still be done within its objective. */
        IN_TIME,
        /** It can still be of use. */
        LATE,
        /** It is only owed. */
        MISSED
    }

    /** Returns the objective of {@code job}. */
    static Objective of(Job job) {
        List<Long> ends = new ArrayList<>();
        long longest = 0;
        for (Step step : job.steps()) {
            long start = 0;
            for (int earlier : step.after()) {
                start = Math.max(start, ends.get(earlier));
            }
            ends.add(start + step.estimateMillis());
            longest = Math.max(longest, start + step.estimateMillis());
        }
        return new Objective(job, longest);
    }

    /** Returns how long an occurrence should take, in milliseconds. */
    private long durationMillis() {
        return (long) (job.terms().stretch() * criticalPathMillis) + job.terms().objectiveMillis();
    }

    /** Returns the outlook of an occurrence that would begin at {@code nowMillis}. */
    DeadlineStatus deadlineStatus(int occurrence, long nowMillis) {
        if (slackMillis(occurrence, nowMillis) >= 0) {
            return DeadlineStatus.IN_TIME;
        }
        boolean stillUseful = nowMillis <= job.dueMillis(occurrence) + LATE_LIMIT_FACTOR * durationMillis();
        return stillUseful ? DeadlineStatus.LATE : DeadlineStatus.MISSED;
    }

    /** Returns how long an occurrence can wait and still be done within its objective, in milliseconds. */
    long slackMillis(int occurrence, long nowMillis) {
        return job.dueMillis(occurrence) + durationMillis() - criticalPathMillis - nowMillis;
    }
}
