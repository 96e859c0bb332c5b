package org.acaciaport.config;

/** What may be done to running work to take its accelerators back, in the order in which it is tried. */
public enum Treatment {
    /** Saves the work's state and ends it; it resumes later, on any target. */
    CHECKPOINT,
    /** Pauses the work on its target without accelerators; it resumes there. */
    THROTTLE,
    /** Ends the work; it starts again from its beginning. */
    STOP
}
