/**
 * The scheduler process of one VM: accepts jobs, replicates the shared log, and schedules while it is the leader.
 *
 * <p>A job enters through {@link org.acaciaport.node.JobService}, is made durable in the log, and reaches the leader's
 * pool through {@link org.acaciaport.node.Replica}. Its tasks are started on targets by
 * {@link org.acaciaport.node.TargetSession}. {@link org.acaciaport.node.Node} is the entry point.
 */
package org.acaciaport.node;
