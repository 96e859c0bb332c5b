package org.acaciaport.pool;

import java.util.function.Function;
import org.jboss.logging.Logger;

/**
 * Rebuilds the execution of a job from its persisted progress.
 *
 * <p>Not thread-safe; confined to the thread of the pool.
 */
final class JobRestorer {
    private static final Logger LOG = Logger.getLogger(JobRestorer.class);

    private final Function<String, TargetState> targets;
    private final ClockReading now;

    /**
     * Creates a restorer.
     *
     * @param targets returns the state of a target by its id, and creates it if it is missing
     */
    JobRestorer(Function<String, TargetState> targets, ClockReading now) {
        this.targets = targets;
        this.now = now;
    }

    /**
     * Applies {@code progress} to a new execution. Progress of a task that the job does not have, or of an occurrence
     * that is done, is ignored.
     */
    void restore(JobExecution execution, JobProgress progress) {
        execution.state = progress.state();
        execution.endedMillis = progress.endedMillis();
        execution.doneOccurrences.addAll(progress.doneOccurrences());
        for (JobProgress.Task persisted : progress.tasks()) {
            if (!execution.doneOccurrences.contains(persisted.occurrence())) {
                restore(execution, persisted);
            }
        }
    }

    private void restore(JobExecution execution, JobProgress.Task persisted) {
        if (!hasTask(execution.spec, persisted)) {
            LOG.warnf("restore: request=%s outcome=ignored task=%s", execution.spec.id(), persisted);
            return;
        }
        StepExecution step = execution.occurrence(persisted.occurrence()).get(persisted.step());
        TaskExecution task = step.tasks.get(persisted.index());
        task.lastRun = persisted.lastRun();
        task.checkpoint = persisted.saved();
        if (persisted.done()) {
            task.phase = Phase.DONE;
            step.doneTaskCount++;
            return;
        }
        restoreEnds(task, persisted.ends());
        if (!persisted.target().isEmpty()) {
            TargetState target = targets.apply(persisted.target());
            task.incarnation = persisted.incarnation();
            task.confirmedNanos = now.monotonicNanos();
            task.lastProgressNanos = now.monotonicNanos();
            task.stoppingSinceNanos = now.monotonicNanos();
            target.put(task, execution.state.isTerminal() ? Phase.STOPPING : Phase.RUNNING);
        }
    }

    private void restoreEnds(TaskExecution task, RunEnds ends) {
        task.failedRuns.addAll(ends.failedRuns());
        if (task.step.job.state.isTerminal()) {
            return;
        }
        for (RunEnds.Unreported each : ends.unreported()) {
            TargetState target = targets.apply(each.target());
            new UnreportedRun(task, each.run(), target, each.incarnation(), now.monotonicNanos()).add();
        }
    }

    private static boolean hasTask(Job job, JobProgress.Task task) {
        return isIndex(task.occurrence(), job.occurrenceCount())
                && isIndex(task.step(), job.steps().size())
                && isIndex(task.index(), job.steps().get(task.step()).count());
    }

    private static boolean isIndex(int value, int size) {
        return value >= 0 && value < size;
    }
}
