/**
 * The records that the programs keep on the platform's log; start with {@link org.acaciaport.record.LogRecord}.
 */
package org.acaciaport.record;
