package org.acaciaport.pool;

/**
 * The identity of a task.
 *
 * <p>Immutable.
 *
 * @param job id of the job
 * @param occurrence index of the occurrence of a recurring job, from 0
 * @param step index of the step in the job, from 0
 * @param index index of the task in the step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {
    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
