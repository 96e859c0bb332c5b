package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;

/**
 * A log behind a slow link: the answer to a read takes time in proportion to its size, and concurrent answers share the
 * link. An answer whose transfer takes longer than its deadline is lost, but has used the link.
 *
 * <p>Thread-safe.
 */
final class SlowLinkLog implements KeyedLog {
    /** Capacity of the link, in bytes per millisecond. */
    private static final int BYTES_PER_MILLI = 875;

    /** Largest number of bytes that one answer transfers before the next one has its turn. */
    private static final int CHUNK_BYTES = 8 * 1_024;

    /** Largest size of the records of one read, in bytes. */
    private static final int MAX_READ_BYTES = 64 * 1_024;

    private final KeyedLog log;

    /** Held by the answer that transfers a chunk; fair, so that concurrent answers take turns. */
    private final ReentrantLock link = new ReentrantLock(true);

    private final AtomicInteger transferredRecords = new AtomicInteger();

    SlowLinkLog(KeyedLog log) {
        this.log = log;
    }

    /** Returns how many records the answers to reads had, each counted as often as it was in one. */
    int transferredRecords() {
        return transferredRecords.get();
    }

    @Override
    public AppendOutcome append(Append append, long deadline) {
        return log.append(append, deadline);
    }

    @Override
    public ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        if (!(log.read(topic, from, waitMillis, deadline) instanceof ReadOutcome.Records read)) {
            return new ReadOutcome.Unavailable("no records");
        }
        List<KeyedRecord> records = new ArrayList<>();
        int bytes = 0;
        for (KeyedRecord record : read.records()) {
            bytes += record.value().length;
            if (bytes > MAX_READ_BYTES) {
                break;
            }
            records.add(record);
        }
        transferredRecords.addAndGet(records.size());
        return transfer(bytes, deadline)
                ? new ReadOutcome.Records(read.end(), records)
                : new ReadOutcome.Unavailable("transfer took too long");
    }

    @Override
    public NewestOutcome newest(String topic, String after, long deadline) {
        return log.newest(topic, after, deadline);
    }

    /** Transfers an answer; returns false if that was not possible by {@code deadline}. */
    private boolean transfer(int bytes, long deadline) {
        int left = bytes;
        while (left > 0 && Clocks.millisUntil(deadline) > 0) {
            int chunk = Math.min(left, CHUNK_BYTES);
            link.lock();
            try {
                Clocks.sleep(Math.max(1, chunk / BYTES_PER_MILLI));
            } finally {
                link.unlock();
            }
            left -= chunk;
        }
        return Clocks.millisUntil(deadline) > 0;
    }
}
