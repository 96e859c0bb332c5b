/**
 * In-memory replacements of the platform and of targets, with fault injection, for tests and the demo.
 *
 * <p>Not part of a deployment.
 */
package org.acaciaport.standins;
