/**
 * Network addresses as other programs write them.
 *
 * <p>Start with {@link org.acaciaport.address.SocketAddresses}.
 */
package org.acaciaport.address;
