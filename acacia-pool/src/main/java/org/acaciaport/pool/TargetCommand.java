package org.acaciaport.pool;

/** A command to a target about one run of a task. */
public sealed interface TargetCommand {
    /** Returns the id of the target. */
    String target();

    /** Returns the incarnation of the target that the command is meant for. */
    long incarnation();

    /** Returns the task. */
    TaskId task();

    /** Returns the run number of the task. */
    int run();

    /**
     * Command to start a run. Sent only once the record of the run is durable.
     *
     * @param payload text passed to the task
     * @param checkpoint checkpoint to resume from; empty if there is none
     */
    record Start(String target, long incarnation, TaskId task, int run, String payload, String checkpoint)
            implements TargetCommand {}

    /** Command to stop a run, or to reject its start if that has not arrived yet. */
    record Stop(String target, long incarnation, TaskId task, int run) implements TargetCommand {}
}
