/**
 * Scheduling of the tasks of multi-step jobs on targets, free of I/O.
 *
 * <p>The entry point is {@link org.acaciaport.pool.Pool}: events go in; batches of records to persist and commands to
 * targets come out.
 */
package org.acaciaport.pool;
