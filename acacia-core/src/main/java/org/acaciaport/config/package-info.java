/**
 * The operators' published configuration: data centres, targets, client accounts, guarantees and profiles.
 *
 * <p>Start with {@link org.acaciaport.config.Configuration}; {@link org.acaciaport.config.ConfigurationCheck} says what
 * makes one acceptable and {@link org.acaciaport.config.ActiveConfiguration} is what the programs act on.
 */
package org.acaciaport.config;
