/**
 * The records on the platform's log; start with {@link org.acaciaport.record.LogRecord}.
 */
package org.acaciaport.record;
