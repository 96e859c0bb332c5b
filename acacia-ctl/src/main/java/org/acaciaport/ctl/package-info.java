/**
 * The {@code acaciactl} command-line program for operators and callers.
 *
 * <p>{@link org.acaciaport.ctl.CtlMain} parses the command line and {@link org.acaciaport.ctl.Commands} executes the
 * command. {@link org.acaciaport.ctl.GatewayClient} calls the gateways, and {@link org.acaciaport.ctl.Publisher} writes
 * configuration changes to the platform's log.
 */
package org.acaciaport.ctl;
