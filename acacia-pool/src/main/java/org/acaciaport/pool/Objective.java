package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * The completion-time objective of a job.
 *
 * <p>Immutable.
 *
 * @param job the job that the objective applies to
 * @param criticalPathMillis estimated duration of the longest chain of dependent steps, in milliseconds
 */
record Objective(Job job, long criticalPathMillis) {
    /** Multiple of its objective up to which a late occurrence is still useful. */
    private static final int LATE_LIMIT_FACTOR = 3;

    private static final double MILLIS_PER_SECOND = 1e3;

    /** Longest critical path and longest part of an objective, in milliseconds: a hundred years. */
    private static final long MAX_MILLIS = 36_500L * 24 * 60 * 60 * 1_000;

    /** Prospect of an occurrence that starts now. Declared in scheduling order: earlier constants go first. */
    enum DeadlineStatus {
        /** The occurrence can still complete within its objective. */
        IN_TIME,
        /** The occurrence would miss its objective but still be useful. */
        LATE,
        /** The occurrence would no longer be useful but still has to run. */
        MISSED
    }

    /** Returns the objective of {@code job} by its declared durations. */
    static Objective of(Job job) {
        return of(job, number -> job.steps().get(number).estimateSeconds());
    }

    /**
     * Returns the objective of {@code job}.
     *
     * @param stepSeconds expected duration of a task of the step with the given number, in seconds
     */
    static Objective of(Job job, IntToDoubleFunction stepSeconds) {
        List<Long> ends = new ArrayList<>();
        long longest = 0;
        for (int number = 0; number < job.steps().size(); number++) {
            long start = 0;
            for (int earlier : job.steps().get(number).after()) {
                start = Math.max(start, ends.get(earlier));
            }
            long millis = Math.round(stepSeconds.applyAsDouble(number) * MILLIS_PER_SECOND);
            long end = Math.min(MAX_MILLIS, start + Math.min(MAX_MILLIS, millis));
            ends.add(end);
            longest = Math.max(longest, end);
        }
        return new Objective(job, longest);
    }

    /** Returns the time within which an occurrence should complete, in milliseconds. */
    private long durationMillis() {
        long proportionalMillis = (long) (job.terms().stretch() * criticalPathMillis);
        return Math.min(MAX_MILLIS, proportionalMillis)
                + Math.min(MAX_MILLIS, job.terms().objectiveMillis());
    }

    /** Returns the status of an occurrence that would start at {@code nowMillis}. */
    DeadlineStatus deadlineStatus(int occurrence, long nowMillis) {
        if (slackMillis(occurrence, nowMillis) >= 0) {
            return DeadlineStatus.IN_TIME;
        }
        boolean stillUseful = nowMillis <= latestUsefulEndMillis(occurrence);
        return stillUseful ? DeadlineStatus.LATE : DeadlineStatus.MISSED;
    }

    /** Returns how long an occurrence can wait and still complete within its objective, in milliseconds. */
    long slackMillis(int occurrence, long nowMillis) {
        return job.dueMillis(occurrence) + durationMillis() - criticalPathMillis - nowMillis;
    }

    /** Returns until when an occurrence is of use, in milliseconds since the Unix epoch. */
    long latestUsefulEndMillis(int occurrence) {
        return job.dueMillis(occurrence) + LATE_LIMIT_FACTOR * durationMillis();
    }

    /** Returns the latest start at which an occurrence is of use, in milliseconds since the Unix epoch. */
    long latestUsefulStartMillis(int occurrence) {
        return latestUsefulEndMillis(occurrence) - criticalPathMillis;
    }
}
