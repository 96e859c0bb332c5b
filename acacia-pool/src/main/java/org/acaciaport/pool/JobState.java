package org.acaciaport.pool;

/** How far a job is. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** Every task is done. */
    DONE,
    /** A task or gang failed too often. */
    FAILED,
    /** The caller took it back. */
    CANCELLED;

    /** Returns whether it stays so. */
    public boolean isTerminal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }
}
