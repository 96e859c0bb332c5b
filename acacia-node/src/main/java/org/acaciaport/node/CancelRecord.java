package org.acaciaport.node;

/**
 * Says that a caller cancelled a job.
 *
 * <p>Immutable.
 *
 * @param id the job
 * @param askedMillis when, in milliseconds since 1970
 */
public record CancelRecord(String id, long askedMillis) {}
