package org.acaciaport.pool;

/**
 * Names one task.
 *
 * <p>Immutable.
 *
 * @param job id of its job
 * @param occurrence which run of a recurring job, from 0
 * @param step number of its step, from 0
 * @param index its number in the step, from 0
 */
public record TaskId(String job, int occurrence, int step, int index) {
    @Override
    public String toString() {
        return job + "." + occurrence + "." + step + "." + index;
    }
}
