package org.acaciaport.node;

/**
 * The record of a caller's cancellation of a job.
 *
 * <p>Immutable.
 *
 * @param id id of the job
 * @param askedMillis time of the request, in milliseconds since the Unix epoch
 */
public record CancelRecord(String id, long askedMillis) {}
