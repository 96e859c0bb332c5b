/**
 * Client interfaces to the services of the platform: the log, the list of VMs and the targets.
 *
 * <p>{@link org.acaciaport.http} has the implementations over HTTP; tests supply others.
 */
package org.acaciaport.platform;
