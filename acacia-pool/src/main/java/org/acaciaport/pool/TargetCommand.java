package org.acaciaport.pool;

/** What a target is told. */
public sealed interface TargetCommand {
    /** Returns the target. */
    String target();

    /** Returns the life of the target that is meant. */
    long incarnation();

    /** Returns the task. */
    TaskId task();

    /** Returns the number of the start. */
    int run();

    /**
     * Starts a run. Sent only once the record that names it is durable.
     *
     * @param payload text for the task
     * @param checkpoint checkpoint to go on from; empty for none
     */
    record Start(String target, long incarnation, TaskId task, int run, String payload, String checkpoint)
            implements TargetCommand {}

    /** Stops a run, and bars it if it has not begun. */
    record Stop(String target, long incarnation, TaskId task, int run) implements TargetCommand {}
}
