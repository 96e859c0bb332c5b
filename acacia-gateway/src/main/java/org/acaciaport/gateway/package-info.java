/**
 * The gateway program: callers' HTTP on every entry VM.
 *
 * <p>{@link org.acaciaport.gateway.CallerService} reads and answers HTTP requests,
 * {@link org.acaciaport.gateway.Router} picks the scheduler to ask, and {@link org.acaciaport.gateway.Cells} keeps what
 * is known of them.
 */
package org.acaciaport.gateway;
