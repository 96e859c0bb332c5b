package org.acaciaport.pool;

/** The state of a job. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks of all occurrences are done. */
    DONE,
    /** A task or gang reached the maximum number of failures. */
    FAILED,
    /** The caller cancelled the job. */
    CANCELLED;

    /** Returns whether a job never leaves this state. */
    public boolean isTerminal() {
        return this == DONE || this == FAILED || this == CANCELLED;
    }
}
