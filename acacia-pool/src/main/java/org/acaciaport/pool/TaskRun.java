package org.acaciaport.pool;

/**
 * One task as the pool sees it.
 *
 * <p>Mutable, for the pool's thread only. {@code target} is null exactly in the phases WAITING and DONE.
 */
final class TaskRun {
    final TaskId id;
    final StepRun step;
    Phase phase = Phase.WAITING;
    int lastRun;
    int failures;
    String saved = "";
    TargetRun target;

    /** Life of the target that the run was sent to. */
    long incarnation;

    /** When the newest run was confirmed, on the steady clock, in nanoseconds. */
    long confirmedNanos;

    /** When the newest stop was sent, on the steady clock, in nanoseconds. */
    long stopNanos;

    int percent;

    /** When {@code percent} last rose, on the steady clock, in nanoseconds. */
    long advancedNanos;

    TaskRun(TaskId id, StepRun step) {
        this.id = id;
        this.step = step;
    }

    Resources demand() {
        return step.spec.charged();
    }

    Job job() {
        return step.job.job;
    }
}
