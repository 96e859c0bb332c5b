/**
 * The scheduler program: one on every entry VM, of which one leads each data centre.
 *
 * <p>{@link org.acaciaport.scheduler.Scheduler} ties the parts together. {@link org.acaciaport.scheduler.LogReplica}
 * follows the log, {@link org.acaciaport.scheduler.LeaderElection} decides who leads,
 * {@link org.acaciaport.scheduler.LeaderTerm} makes and carries out the decisions while this process leads, and
 * {@link org.acaciaport.scheduler.RequestService} answers the other programs.
 */
package org.acaciaport.scheduler;
