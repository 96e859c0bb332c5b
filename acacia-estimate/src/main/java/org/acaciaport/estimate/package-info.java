/**
 * Learned estimates of the durations of tasks and the speeds of targets, free of I/O and deterministic.
 *
 * <p>The entry point is {@link org.acaciaport.estimate.Estimates}: observations of runs go in; distributions of
 * durations and speeds of targets come out.
 */
package org.acaciaport.estimate;
