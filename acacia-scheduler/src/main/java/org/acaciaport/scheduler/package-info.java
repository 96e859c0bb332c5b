/**
 * The scheduler program. A scheduler runs on every entry VM, and one of the schedulers in each data centre leads it.
 *
 * <p>{@link org.acaciaport.scheduler.Scheduler} connects the parts and starts and stops them:
 *
 * <ul>
 *   <li>{@link org.acaciaport.scheduler.LogReplica} replays the platform's log and appends to it.
 *   <li>{@link org.acaciaport.scheduler.LeaderElection} acquires, renews and resigns the leadership of the data centre.
 *   <li>{@link org.acaciaport.scheduler.LeaderTerm} makes and executes decisions while this process leads, with one
 *       {@link org.acaciaport.scheduler.TargetSession} for each target.
 *   <li>{@link org.acaciaport.scheduler.RequestService} answers queries from other programs.
 * </ul>
 *
 * <p>A <i>term</i> is the time in which one scheduler leads a data centre without interruption. Terms are numbered by
 * their <i>epoch</i>, which is a fencing token: targets refuse calls that carry an older epoch, and replay voids
 * intents that do.
 */
package org.acaciaport.scheduler;
