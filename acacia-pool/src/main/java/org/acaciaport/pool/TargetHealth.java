package org.acaciaport.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Detects faulty targets by the outcome of their runs, since a faulty target may still report itself healthy.
 *
 * <p>A suspected target gets no work but that which must not wait longer; see
 * {@link PlacementUnit#acceptsSuspectedTargets}. A job that fails on several targets is assumed to be the cause itself,
 * so further failures of it are not counted against targets on which no other job has failed since their last success.
 * Mutable and not thread-safe; confined to the thread of the pool.
 */
final class TargetHealth {
    /** Failures of different jobs, without a success in between, after which a target is suspected. */
    private static final int SUSPICION_SCORE = 2;

    /** Duration of the first suspicion, in milliseconds; doubled with each further point of the failure score. */
    private static final long INITIAL_SUSPICION_MILLIS = 2_000;

    private static final int MAX_DOUBLINGS = 3;

    /** Exclusion after each failure, in milliseconds: a target that fails its work is idle and would get the next. */
    private static final long FAILURE_EXCLUSION_MILLIS = 1_000;

    /** Time after a success during which a target is known to be sound, in milliseconds. */
    private static final long PROVEN_MILLIS = 2_000;

    /**
     * Time in which all stalls on a target count as one, in milliseconds: tasks of a target that hangs stall together.
     * Shorter than a suspicion and the time after which the next task stalls.
     */
    private static final long SAME_STALL_MILLIS = 4_000;

    /** When a job last failed on a target, on the monotonic clock, in nanoseconds, by job and by target. */
    private final Map<String, Map<String, Long>> failedTargetsByJob = new HashMap<>();

    /** Records that a run of {@code job} failed on {@code target}. */
    void recordFailure(String job, TargetState target, ClockReading now) {
        Map<String, Long> failedTargets = failedTargetsByJob.computeIfAbsent(job, id -> new HashMap<>());
        boolean failedElsewhere =
                !failedTargets.isEmpty() && !failedTargets.keySet().equals(Set.of(target.id));
        failedTargets.put(target.id, now.monotonicNanos());
        exclude(target, now.nanosAfter(FAILURE_EXCLUSION_MILLIS));
        boolean repeated = target.lastFailedJob.equals(job);
        boolean firstFailure = target.lastFailedJob.isEmpty();
        target.lastFailedJob = job;
        if (repeated || failedElsewhere && firstFailure) {
            return;
        }
        addToScore(target, now, 1);
    }

    /** Records that a run stalled or straggled on {@code target}, which is suspected at once. */
    void recordStall(TargetState target, ClockReading now) {
        boolean counted = target.lastStallNanos != 0 && now.millisSince(target.lastStallNanos) < SAME_STALL_MILLIS;
        if (counted) {
            suspect(target, now.nanosAfter(INITIAL_SUSPICION_MILLIS));
            return;
        }
        target.lastStallNanos = now.monotonicNanos();
        addToScore(target, now, SUSPICION_SCORE);
    }

    private static void addToScore(TargetState target, ClockReading now, int points) {
        target.failureScore += points;
        if (target.failureScore < SUSPICION_SCORE) {
            return;
        }
        int doublings = Math.min(MAX_DOUBLINGS, target.failureScore - SUSPICION_SCORE);
        suspect(target, now.nanosAfter(INITIAL_SUSPICION_MILLIS << doublings));
    }

    private static void suspect(TargetState target, long untilNanos) {
        target.suspectedUntilNanos = Math.max(target.suspectedUntilNanos, untilNanos);
    }

    /** Excludes {@code target} from new work until the given monotonic clock reading, in nanoseconds. */
    static void exclude(TargetState target, long untilNanos) {
        target.excludedUntilNanos = Math.max(target.excludedUntilNanos, untilNanos);
    }

    /** Returns whether a run completed on {@code target} a moment ago and none has failed there since. */
    static boolean isProven(TargetState target, ClockReading now) {
        return target.lastSuccessNanos != 0
                && target.lastFailedJob.isEmpty()
                && target.failureScore == 0
                && now.millisSince(target.lastSuccessNanos) <= PROVEN_MILLIS;
    }

    /** Records that a run completed on {@code target}. */
    void recordSuccess(TargetState target, ClockReading now) {
        target.lastSuccessNanos = now.monotonicNanos();
        target.failureScore = 0;
        target.lastFailedJob = "";
    }

    /**
     * Returns whether {@code job} should rather run on other targets than {@code target} because it failed there. A job
     * that failed on as many targets as there are avoids none.
     */
    boolean isAvoidedByJob(String job, TargetState target, Collection<TargetState> all) {
        Map<String, Long> failedTargets = failedTargetsByJob.get(job);
        return failedTargets != null && failedTargets.containsKey(target.id) && failedTargets.size() < all.size();
    }

    /** Returns the time since {@code job} failed on {@code target}, which it {@link #isAvoidedByJob avoids}, in ms. */
    long millisSinceFailure(String job, TargetState target, ClockReading now) {
        return now.millisSince(failedTargetsByJob.get(job).get(target.id));
    }

    /** Returns whether runs of {@code job} have failed, so that it may avoid targets. */
    boolean hasFailed(String job) {
        return failedTargetsByJob.containsKey(job);
    }

    void removeJob(String job) {
        failedTargetsByJob.remove(job);
    }
}
