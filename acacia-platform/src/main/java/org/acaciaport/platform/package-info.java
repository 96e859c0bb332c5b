/**
 * What the platform gives, behind interfaces: the log, the list of VMs and the targets.
 *
 * <p>{@link org.acaciaport.http} has the implementations over HTTP; tests bring their own.
 */
package org.acaciaport.platform;
