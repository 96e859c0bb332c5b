/**
 * One VM's part of the scheduler: it accepts requests, follows the shared log, and leads the pool when no other does.
 *
 * <p>A request enters at {@link org.acaciaport.node.Desk}, becomes durable in the log, reaches the pool of the leader
 * through {@link org.acaciaport.node.Replica}, and its tasks reach targets through
 * {@link org.acaciaport.node.TargetSession}. Start with {@link org.acaciaport.node.Node}.
 */
package org.acaciaport.node;
