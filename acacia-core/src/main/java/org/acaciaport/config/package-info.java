/**
 * The configuration that operators publish: data centres, targets, client accounts, guarantees and profiles.
 *
 * <p>Start with {@link org.acaciaport.config.Configuration}. {@link org.acaciaport.config.ConfigurationCheck} validates
 * one, and {@link org.acaciaport.config.ActiveConfiguration} is the revision in force.
 * {@link org.acaciaport.config.SliceAssignment} divides the targets of a data centre into the slices that back the
 * guarantees of the accounts, and {@link org.acaciaport.config.Profile#revocable} says which work may be preempted.
 */
package org.acaciaport.config;
