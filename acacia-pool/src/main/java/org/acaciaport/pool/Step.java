package org.acaciaport.pool;

import java.util.List;

/**
 * One step of a job: equal tasks that may run once the steps before it are done.
 *
 * <p>Immutable.
 *
 * @param count number of tasks
 * @param demand what each task takes
 * @param estimateMillis rough duration of a task, in milliseconds
 * @param after numbers of earlier steps that must be done first
 * @param constraints where the tasks may run
 * @param mode how the tasks run
 */
public record Step(
        int count, Resources demand, long estimateMillis, List<Integer> after, Constraints constraints, Mode mode) {
    private static final double MILLIS_PER_SECOND = 1e3;

    /** Copies the list. */
    public Step {
        after = List.copyOf(after);
    }

    /**
     * Where the tasks of a step may run.
     *
     * @param label label that a target must have; empty for any
     * @param nearRack rack that holds the data; empty for any
     * @param spreadLimit most tasks of the step on one target; 0 for no limit
     * @param tight whether tasks on more than one rack slow each other down
     */
    public record Constraints(String label, String nearRack, int spreadLimit, boolean tight) {
        /** No constraint at all. */
        public static final Constraints NONE = new Constraints("", "", 0, false);
    }

    /**
     * How the tasks of a step run.
     *
     * @param gang whether they work only together
     * @param checkpoint whether they save their progress
     * @param speculative whether copies may run at the same time
     * @param lasting whether they run until the job is cancelled
     * @param filling whether they use only processors that other tasks leave idle
     * @param mayMiss for lasting tasks, how many the scheduler may have away at once
     */
    public record Mode(
            boolean gang, boolean checkpoint, boolean speculative, boolean lasting, boolean filling, int mayMiss) {
        /** Independent tasks that save nothing. */
        public static final Mode PLAIN = new Mode(false, false, false, false, false, 0);
    }

    /** Returns the rough duration of a task, in seconds. */
    double estimateSeconds() {
        return estimateMillis / MILLIS_PER_SECOND;
    }

    /** Returns what one task takes from a target's capacity. */
    public Resources chargedResources() {
        return mode.filling() ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }
}
