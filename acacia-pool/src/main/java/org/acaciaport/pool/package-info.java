/**
 * Decides where the tasks of jobs with several steps run, without I/O.
 *
 * <p>Start with {@link org.acaciaport.pool.Pool}: events go in, batches of durable records and orders come out.
 */
package org.acaciaport.pool;
