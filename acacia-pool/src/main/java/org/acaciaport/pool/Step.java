package org.acaciaport.pool;

import java.util.List;
import java.util.Objects;

/**
 * A step of a job: identical tasks that may run once the steps they depend on are done.
 *
 * <p>Immutable.
 *
 * @param count number of tasks
 * @param demand resources that each task needs
 * @param estimateMillis estimated duration of a task, in milliseconds
 * @param after indices of the earlier steps that this step depends on
 * @param constraints placement constraints of the tasks
 * @param mode execution mode of the tasks
 */
public record Step(
        int count, Resources demand, long estimateMillis, List<Integer> after, Constraints constraints, Mode mode) {
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * Creates a step with an immutable copy of {@code after}.
     *
     * @throws IllegalArgumentException if {@code count} is not positive
     */
    public Step {
        if (count < 1) {
            throw new IllegalArgumentException("count " + count + " of a step is not positive");
        }
        Objects.requireNonNull(demand, "demand");
        Objects.requireNonNull(constraints, "constraints");
        Objects.requireNonNull(mode, "mode");
        after = List.copyOf(after);
    }

    /**
     * The placement constraints of a step.
     *
     * @param label label that a target must have; empty for no restriction
     * @param nearRack preferred rack, which holds the data; empty for no preference
     * @param spreadLimit maximum number of tasks of the step on one target; 0 for no limit
     * @param tight whether the tasks run slower if they are spread over several racks
     */
    public record Constraints(String label, String nearRack, int spreadLimit, boolean tight) {
        /** Requires texts, which may be empty. */
        public Constraints {
            Objects.requireNonNull(label, "label");
            Objects.requireNonNull(nearRack, "nearRack");
        }

        /** No constraints. */
        public static final Constraints NONE = new Constraints("", "", 0, false);
    }

    /**
     * The execution mode of a step.
     *
     * @param gang whether the tasks make progress only if all of them run at the same time
     * @param checkpoint whether the tasks write checkpoints that a later run can resume from
     * @param speculative whether several runs of a task may be active at the same time
     * @param lasting whether the tasks run until the job is cancelled
     * @param filling whether the tasks use only processor time that other tasks leave idle
     * @param mayMiss for lasting tasks, the maximum number that the scheduler may interrupt at the same time
     */
    public record Mode(
            boolean gang, boolean checkpoint, boolean speculative, boolean lasting, boolean filling, int mayMiss) {
        /** Independent tasks without checkpoints. */
        public static final Mode PLAIN = new Mode(false, false, false, false, false, 0);
    }

    /** Returns the estimated duration of a task, in seconds. */
    double estimateSeconds() {
        return estimateMillis / MILLIS_PER_SECOND;
    }

    /** Returns the resources that each task occupies on its target; filling tasks occupy no processors. */
    public Resources chargedResources() {
        return mode.filling() ? new Resources(0, demand.memoryMb(), demand.accelerators()) : demand;
    }
}
