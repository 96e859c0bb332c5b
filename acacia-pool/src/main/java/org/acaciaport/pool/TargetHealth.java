package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Judges targets by how work ends there, since a sick target may still report itself healthy.
 *
 * <p>Mutable, for the pool's thread only. A job that fails on several targets says nothing about them.
 */
final class TargetHealth {
    /** Failures of different jobs without a success between them that make a target suspect. */
    private static final int EXCLUSION_SCORE = 2;

    /** First time without new work, in milliseconds; doubled with each further strike. */
    private static final long INITIAL_EXCLUSION_MILLIS = 2_000;

    private static final int MAX_DOUBLINGS = 3;

    private final Map<String, Set<String>> failedTargetsByJob = new HashMap<>();

    /** Takes note that a run of {@code job} failed on {@code target}. */
    void recordFailure(String job, TargetState target, ClockReading now) {
        Set<String> failedTargets = failedTargetsByJob.computeIfAbsent(job, id -> new HashSet<>());
        boolean failedElsewhere = !failedTargets.isEmpty() && !failedTargets.equals(Set.of(target.id));
        failedTargets.add(target.id);
        if (failedElsewhere || target.lastFailedJob.equals(job)) {
            return;
        }
        target.lastFailedJob = job;
        addToScore(target, now, 1);
    }

    /** Takes note that a run stood still on {@code target}. */
    void recordStall(TargetState target, ClockReading now) {
        addToScore(target, now, EXCLUSION_SCORE);
    }

    private static void addToScore(TargetState target, ClockReading now, int points) {
        target.failureScore += points;
        if (target.failureScore < EXCLUSION_SCORE) {
            return;
        }
        int doublings = Math.min(MAX_DOUBLINGS, target.failureScore - EXCLUSION_SCORE);
        exclude(target, now.nanosAfter(INITIAL_EXCLUSION_MILLIS << doublings));
    }

    /** Sends no new work to {@code target} until the given reading of the steady clock. */
    static void exclude(TargetState target, long untilNanos) {
        target.excludedUntilNanos = Math.max(target.excludedUntilNanos, untilNanos);
    }

    /** Takes note that a run finished on {@code target}. */
    void recordSuccess(TargetState target) {
        target.failureScore = 0;
        target.lastFailedJob = "";
    }

    /** Returns whether a run of {@code job} failed on {@code target} and the job has other targets to try. */
    boolean isExcludedForJob(String job, TargetState target, Collection<TargetState> all) {
        Set<String> failedTargets = failedTargetsByJob.get(job);
        return failedTargets != null && failedTargets.contains(target.id) && failedTargets.size() < all.size();
    }

    void removeJob(String job) {
        failedTargetsByJob.remove(job);
    }
}
