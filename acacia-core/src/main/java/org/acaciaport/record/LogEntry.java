package org.acaciaport.record;

/**
 * A record as it stands on the log.
 *
 * <p>Immutable.
 *
 * @param offset its place in the total order
 * @param writer unique name of the process that appended it
 * @param sequence number that the writer gave it, from 1; a repeated number marks a repeated append
 * @param record the record
 */
public record LogEntry(long offset, String writer, long sequence, LogRecord record) {}
