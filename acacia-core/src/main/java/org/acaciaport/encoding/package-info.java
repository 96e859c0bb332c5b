/**
 * Checks of encoded values before they are decoded.
 *
 * <p>Start with {@link org.acaciaport.encoding.MessagePackCheck}.
 */
package org.acaciaport.encoding;
