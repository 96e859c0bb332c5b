package org.acaciaport.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The execution state of one step of one occurrence.
 *
 * <p>Mutable and not thread-safe; confined to the thread of the pool.
 */
final class StepExecution {
    final JobExecution job;
    final Step spec;
    final int occurrence;
    final int number;

    /** Identifies the step among those of all jobs. */
    final String key;

    final List<TaskExecution> tasks = new ArrayList<>();
    int doneTaskCount;

    /** Ends of the newest run of a gang. */
    final GangEnds gangEnds = new GangEnds();

    /** Whether a straggler of this step was handled already; done only once, as the estimate may be wrong. */
    boolean stragglerHandled;

    /** Whether the speed that this step needs has been recorded. */
    boolean speedRecorded;

    /** Number of preemptions of this step; each makes the next one more expensive. */
    int preemptionCount;

    /** Work lost by the stops that made room for the newest placement of tasks of this step, in core-seconds. */
    double displacedCoreSeconds;

    /** Monotonic clock reading of the next search among running tasks, in nanoseconds; the search is expensive. */
    long nextSearchNanos;

    /**
     * Whether a unit of this step has waited too long for its account's stopped runs to end, so that it reserves
     * resources only once it could start. Reset when the last of its units starts, so that single tasks do not hold
     * resources one after the other.
     */
    boolean limitHoldExpired;

    /** Monotonic clock reading at which a search that was due was skipped, in nanoseconds; 0 if none was. */
    long searchSkippedNanos;

    /** Monotonic clock reading at which the step became ready to run, in nanoseconds; 0 until then. */
    long readyNanos;

    StepExecution(JobExecution job, int occurrence, int number) {
        this.job = job;
        this.spec = job.spec.steps().get(number);
        this.occurrence = occurrence;
        this.number = number;
        this.key = job.spec.id() + "." + occurrence + "." + number;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskExecution(new TaskId(job.spec.id(), occurrence, number, i), this));
        }
    }

    /** Returns whether {@code task} runs on another rack than its data, or than a task of the same tight step. */
    boolean lacksLocality(TaskExecution task) {
        String near = spec.constraints().nearRack();
        if (!near.isEmpty() && !near.equals(task.target.rack())) {
            return true;
        }
        if (!spec.constraints().tight()) {
            return false;
        }
        for (TaskExecution other : tasks) {
            if (other.target != null && !other.target.rack().equals(task.target.rack())) {
                return true;
            }
        }
        return false;
    }

    /** Returns how long the occurrence can wait and still complete within its objective, in milliseconds. */
    long slackMillis(ClockReading now) {
        return job.objective.slackMillis(occurrence, now.wallClockMillis());
    }

    /** Returns whether the occurrence can still complete in time to be useful. */
    Objective.DeadlineStatus deadlineStatus(ClockReading now) {
        return job.objective.deadlineStatus(occurrence, now.wallClockMillis());
    }

    /**
     * Returns whether a gang may run once more: the runs that have failed or may have failed are fewer than the
     * attempts of the job.
     */
    boolean hasAttemptLeft() {
        if (spec.mode().lasting() || tasks.stream().allMatch(task -> task.unreportedRuns.isEmpty())) {
            return true;
        }
        Set<Integer> failures = new HashSet<>(tasks.get(0).failedRuns);
        tasks.forEach(task -> failures.addAll(task.unreportedRuns.keySet()));
        return failures.size() < job.spec.terms().attempts();
    }

    /** Returns whether all steps that must end before this one have; {@code steps} are those of its occurrence. */
    boolean isReady(List<StepExecution> steps) {
        for (int earlier : spec.after()) {
            if (!steps.get(earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    boolean isDone() {
        return doneTaskCount == tasks.size();
    }
}
