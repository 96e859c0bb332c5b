/**
 * The interface of a durable, shared log of keyed records.
 *
 * <p>Start with {@link org.acaciaport.log.KeyedLog}.
 */
package org.acaciaport.log;
