package org.acaciaport.pool;

/** Where the newest run of a task is in its life. */
enum Phase {
    /** There is no run. */
    WAITING,
    /** A place is promised; the run starts once there is room. */
    RESERVED,
    /** The start is about to be durable, or was sent and not yet confirmed. */
    STARTING,
    /** The target confirmed the run. */
    RUNNING,
    /** It was told to stop. */
    STOPPING,
    /** The task is done. */
    DONE;

    /** Returns whether a run in this phase may take room on its target. */
    boolean mayOccupyTarget() {
        return this == STARTING || this == RUNNING || this == STOPPING;
    }
}
