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

    /** What an end of an occurrence is still worth, if it began now. The order is that in which work is taken up. */
    enum Outlook {
        /** It can still be done within its objective. */
        IN_TIME,
        /** It can still be of use. */
        LATE,
        /** It is only owed. */
        MISSED
    }

    /** Returns the outlook of an occurrence of {@code job} that would begin at {@code nowMillis}. */
    static Outlook outlook(Job job, int occurrence, long nowMillis) {
        if (slackMillis(job, occurrence, nowMillis) >= 0) {
            return Outlook.IN_TIME;
        }
        boolean late = nowMillis <= job.dueMillis(occurrence) + LATE_FACTOR * millis(job);
        return late ? Outlook.LATE : Outlook.MISSED;
    }

    /** Returns how long an occurrence can wait and still be done within its objective, in milliseconds. */
    static long slackMillis(Job job, int occurrence, long nowMillis) {
        return job.dueMillis(occurrence) + millis(job) - chainMillis(job) - nowMillis;
    }
}
