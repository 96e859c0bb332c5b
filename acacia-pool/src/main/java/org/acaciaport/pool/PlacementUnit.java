package org.acaciaport.pool;

import java.util.List;

/**
 * Tasks that are placed together: all of a gang, or one task.
 *
 * <p>Immutable.
 *
 * @param step their step
 * @param tasks the tasks, all waiting
 */
record PlacementUnit(StepExecution step, List<TaskExecution> tasks) {
    Job job() {
        return step.job.spec;
    }

    int priority() {
        return job().terms().priority();
    }

    Resources demand() {
        return step.spec.chargedResources();
    }

    int size() {
        return tasks.size();
    }
}
