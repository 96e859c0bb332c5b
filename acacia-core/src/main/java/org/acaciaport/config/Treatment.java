package org.acaciaport.config;

/** A way to preempt running work and reclaim its accelerators, in the order in which the ways are tried. */
public enum Treatment {
    /** Saves the state of the work and ends it; the work resumes later from that state, on any target. */
    CHECKPOINT,
    /** Pauses the work and frees its accelerators; the work resumes later on the same target. */
    THROTTLE,
    /** Ends the work without saving its state; the work restarts from the beginning. */
    STOP
}
