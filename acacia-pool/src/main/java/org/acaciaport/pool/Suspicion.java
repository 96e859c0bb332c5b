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
final class Suspicion {
    /** Failures of different jobs without a success between them that make a target suspect. */
    private static final int STRIKES = 2;

    /** First time without new work, in milliseconds; doubled with each further strike. */
    private static final long FIRST_AVOID_MILLIS = 2_000;

    private static final int MOST_DOUBLINGS = 3;

    private final Map<String, Set<String>> failedOn = new HashMap<>();

    /** Takes note that a run of {@code job} failed on {@code target}. */
    void failed(String job, TargetRun target, ClockReading now) {
        Set<String> places = failedOn.computeIfAbsent(job, id -> new HashSet<>());
        boolean elsewhere = !places.isEmpty() && !places.equals(Set.of(target.id));
        places.add(target.id);
        if (elsewhere || target.lastFailed.equals(job)) {
            return;
        }
        target.lastFailed = job;
        strike(target, now, 1);
    }

    /** Takes note that a run stood still on {@code target}. */
    void stuck(TargetRun target, ClockReading now) {
        strike(target, now, STRIKES);
    }

    private static void strike(TargetRun target, ClockReading now, int strikes) {
        target.strikes += strikes;
        if (target.strikes < STRIKES) {
            return;
        }
        int doublings = Math.min(MOST_DOUBLINGS, target.strikes - STRIKES);
        avoid(target, now.nanosAfter(FIRST_AVOID_MILLIS << doublings));
    }

    /** Sends no new work to {@code target} until the given reading of the steady clock. */
    static void avoid(TargetRun target, long untilNanos) {
        target.avoidUntilNanos = Math.max(target.avoidUntilNanos, untilNanos);
    }

    /** Takes note that a run finished on {@code target}. */
    void succeeded(TargetRun target) {
        target.strikes = 0;
        target.lastFailed = "";
    }

    /** Returns whether a run of {@code job} failed on {@code target} and the job has other targets to try. */
    boolean shuns(String job, TargetRun target, Collection<TargetRun> all) {
        Set<String> places = failedOn.get(job);
        return places != null && places.contains(target.id) && places.size() < all.size();
    }

    void forget(String job) {
        failedOn.remove(job);
    }
}
