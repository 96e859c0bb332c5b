package org.acaciaport.pool;

import java.util.List;

/**
 * The tasks that are placed together: all tasks of a gang, or a single task.
 *
 * <p>Immutable.
 *
 * @param step step that the tasks belong to
 * @param tasks tasks to place
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
