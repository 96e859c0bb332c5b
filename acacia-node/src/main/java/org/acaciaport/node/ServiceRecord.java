package org.acaciaport.node;

/**
 * The service that a job has followed its queue to, as the leader writes it to the log. A later leader needs it if the
 * operators have dropped the queue since.
 *
 * <p>Immutable. In a record of its own, since earlier builds reject unknown fields of a job and skip unknown keys.
 *
 * @param job id of the job
 * @param service name of the service
 */
record ServiceRecord(String job, String service) {}
