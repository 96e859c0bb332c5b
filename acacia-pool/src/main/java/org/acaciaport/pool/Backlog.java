package org.acaciaport.pool;

import java.util.Collection;
import java.util.List;

/**
 * The unfinished work of a pool, and how much of its capacity is in use.
 *
 * <p>Immutable.
 *
 * @param jobs unfinished jobs
 * @param blocked tasks of steps whose earlier steps have not ended
 * @param waiting tasks of ready steps without a run and without reserved resources
 * @param heldBack those of the waiting tasks that the limits of their accounts held back in the newest pass
 * @param reserved tasks with reserved resources
 * @param running tasks whose start was decided and that were not told to stop
 * @param stopping tasks that were told to stop
 * @param usedAccelerators accelerators in use on registered targets
 * @param accelerators accelerators of registered targets
 */
public record Backlog(
        int jobs,
        int blocked,
        int waiting,
        int heldBack,
        int reserved,
        int running,
        int stopping,
        long usedAccelerators,
        long accelerators) {
    /** Returns the backlog of {@code jobs} on {@code targets}; takes time linear in their tasks. */
    static Backlog of(Collection<JobExecution> jobs, Collection<TargetState> targets, int heldBack) {
        int unfinished = 0;
        int blocked = 0;
        int[] tasks = new int[Phase.values().length];
        for (JobExecution job : jobs) {
            if (job.state.isTerminal()) {
                continue;
            }
            unfinished++;
            for (List<StepExecution> steps : job.openOccurrences()) {
                for (StepExecution step : steps) {
                    boolean ready = step.isReady(steps);
                    for (TaskExecution task : step.tasks) {
                        if (!ready && task.phase == Phase.WAITING) {
                            blocked++;
                        } else {
                            tasks[task.phase.ordinal()]++;
                        }
                    }
                }
            }
        }
        long used = 0;
        long total = 0;
        for (TargetState target : targets) {
            if (target.registered) {
                total += target.capacity().accelerators();
                used += target.capacity().minus(target.freeNow()).accelerators();
            }
        }
        return new Backlog(
                unfinished,
                blocked,
                tasks[Phase.WAITING.ordinal()],
                heldBack,
                tasks[Phase.RESERVED.ordinal()],
                tasks[Phase.STARTING.ordinal()] + tasks[Phase.RUNNING.ordinal()],
                tasks[Phase.STOPPING.ordinal()],
                used,
                total);
    }
}
