/**
 * A log of keyed records that outlives the processes, as the product needs it.
 *
 * <p>Start with {@link org.acaciaport.log.KeyedLog}.
 */
package org.acaciaport.log;
