/**
 * The configuration that operators publish: data centres, targets, client accounts, guarantees and profiles.
 *
 * <p>Start with {@link org.acaciaport.config.Configuration}. {@link org.acaciaport.config.ConfigurationCheck} validates
 * one, and {@link org.acaciaport.config.ActiveConfiguration} is the revision in force.
 */
package org.acaciaport.config;
