package org.acaciaport.pool;

/** The phase of a task with respect to its newest run. */
enum Phase {
    /** The task has no active run and no reservation. */
    WAITING,
    /** Resources are reserved on a target; the run starts once they are free. */
    RESERVED,
    /** The start is being persisted, or was sent and is not yet confirmed. */
    STARTING,
    /** The target confirmed the start. */
    RUNNING,
    /** The target was told to stop the run. */
    STOPPING,
    /** The task is done. */
    DONE;

    /** Returns whether a run may use resources of the target in this phase. */
    boolean mayOccupyTarget() {
        return this == STARTING || this == RUNNING || this == STOPPING;
    }
}
