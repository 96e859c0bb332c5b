package org.acaciaport.node;

/**
 * Names of the topics in the shared log.
 *
 * <p>Immutable.
 *
 * @param jobs the product's own records
 * @param operators what operators publish
 * @param targets registrations of targets
 */
public record Topics(String jobs, String operators, String targets) {}
