package org.acaciaport.record;

/**
 * A record together with its position and origin on the log.
 *
 * <p>Immutable.
 *
 * @param offset its position in the total order of the log
 * @param writer unique name of the process that appended it
 * @param sequence number that the writer assigned to it, starting at 1; a retried append has the same number again
 * @param record the record
 */
public record LogEntry(long offset, String writer, long sequence, LogRecord record) {}
