package org.acaciaport.platform;

import java.util.List;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;

/** A client of the platform's append-only log. Implementations are thread-safe. */
public interface PlatformLog {
    /**
     * Appends {@code records} at consecutive offsets.
     *
     * @param writer unique name of the process
     * @param sequence sequence number of the first record; the others are numbered consecutively. A retry after an
     *     uncertain append uses the same number.
     * @throws PlatformException if the log did not acknowledge the append; with kind UNCERTAIN the records may be on it
     */
    void append(String writer, long sequence, List<LogRecord> records) throws PlatformException;

    /**
     * Reads entries from offset {@code from}, waiting up to {@code waitMillis} milliseconds if there are none yet.
     *
     * @param limit maximum number of entries to read
     * @return the entries read; entries that have expired are missing
     * @throws PlatformException if the log did not reply
     */
    Page read(long from, int limit, long waitMillis) throws PlatformException;

    /**
     * The result of a read.
     *
     * @param entries the entries in the order of their offsets; may be empty
     * @param first lowest offset that the log retains
     * @param end the offset after the newest entry at the time of the read
     */
    record Page(List<LogEntry> entries, long first, long end) {
        /** Makes a defensive copy of {@code entries}. */
        public Page {
            entries = List.copyOf(entries);
        }
    }
}
