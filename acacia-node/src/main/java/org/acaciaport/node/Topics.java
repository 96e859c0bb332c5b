package org.acaciaport.node;

/**
 * The names of the topics in the shared log.
 *
 * <p>Immutable.
 *
 * @param jobs topic of the scheduler's own records: jobs, nodes and the leader
 * @param operators topic of the operators' configuration and evacuations
 * @param targets topic of the registrations of targets
 */
public record Topics(String jobs, String operators, String targets) {}
