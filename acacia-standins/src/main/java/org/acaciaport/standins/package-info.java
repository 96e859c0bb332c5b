/**
 * Small programs that take the place of the platform and the targets in tests and the demo, with faults on demand.
 *
 * <p>Not part of a deployment.
 */
package org.acaciaport.standins;
