package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;

/** When a job should be done. */
final class Objective {
    /** How many times its objective a late job may take and still be of use. */
    private static final int LATE_FACTOR = 3;

    private Objective() {}

    /** Returns the estimated longest chain of {@code job}'s steps, in milliseconds. */
    static long chainMillis(Job job) {
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
        return longest;
    }

    /** Returns how long an occurrence of {@code job} should take, in milliseconds. */
    static long millis(Job job) {
        return (long) (job.terms().stretch() * chainMillis(job)) + job.terms().objectiveMillis();
    }

    /** Returns whether an occurrence can no longer end in useful time. */
    static boolean missed(Job job, int occurrence, long nowMillis) {
        return nowMillis > job.dueMillis(occurrence) + LATE_FACTOR * millis(job);
    }
}
