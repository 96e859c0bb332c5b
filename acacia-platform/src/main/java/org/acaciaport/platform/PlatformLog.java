package org.acaciaport.platform;

import java.util.List;
import org.acaciaport.record.LogEntry;
import org.acaciaport.record.LogRecord;

/** The platform's append-only log. Implementations are safe for use by several threads. */
public interface PlatformLog {
    /**
     * Appends {@code records} next to each other.
     *
     * @param writer unique name of the process
     * @param sequence number of the first record, the others follow; the same again after an uncertain append
     * @throws PlatformException if the log did not confirm; with kind UNCERTAIN the records may stand on it
     */
    void append(String writer, long sequence, List<LogRecord> records) throws PlatformException;

    /**
     * Reads entries from {@code from} on, waiting up to {@code waitMillis} milliseconds if there are none yet.
     *
     * @return what was read; entries that have expired are missing
     * @throws PlatformException if the log did not answer
     */
    Page read(long from, int most, long waitMillis) throws PlatformException;

    /**
     * Entries in order of offset.
     *
     * @param entries the entries; may be empty
     * @param first lowest offset that the log still keeps
     * @param end offset after the newest entry when the log answered
     */
    record Page(List<LogEntry> entries, long first, long end) {
        /** Copies the list. */
        public Page {
            entries = List.copyOf(entries);
        }
    }
}
