package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendLimits;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;

/** An in-memory log of a single topic that checks append conditions and can simulate failures. */
final class MemoryLog implements KeyedLog {
    /** The failures to simulate. */
    enum Failure {
        NONE,
        /** Calls have no effect and report that. */
        REFUSE,
        /** The next read is refused; calls after it succeed. */
        REFUSE_ONCE,
        /** Appends take effect but their answer is lost. */
        LOSE_ANSWER
    }

    /** What the platform's store takes. */
    static final AppendLimits LIMITS = new AppendLimits(262_144, 2_097_152);

    private final List<KeyedRecord> records = new ArrayList<>();
    private long epoch;
    private long nextSequence;
    private int first;
    volatile Failure failure = Failure.NONE;
    volatile int calls;

    /** What the log takes; larger appends are rejected. */
    volatile AppendLimits limits = LIMITS;

    /** Key of records that are rejected; empty for none. */
    volatile String rejectedKey = "";

    /** Number of rejected appends. */
    volatile int rejections;

    /** Largest number of records that one read returns. */
    volatile int maxReadRecords = Integer.MAX_VALUE;

    /** Called before each page of newest records, with the key after which the page starts. */
    volatile Consumer<String> beforeNewest = after -> {};

    /** How long each read that did not fail was allowed to wait for new records, in milliseconds. */
    final List<Long> readWaits = new CopyOnWriteArrayList<>();

    @Override
    public synchronized AppendOutcome append(Append append, long deadline) {
        calls++;
        if (failure == Failure.REFUSE) {
            return new AppendOutcome.Refused("refusing");
        }
        if (!takes(append)) {
            rejections++;
            return new AppendOutcome.Rejected("too large");
        }
        AppendOutcome outcome = apply(append);
        return failure == Failure.LOSE_ANSWER ? new AppendOutcome.Unknown("lost") : outcome;
    }

    private boolean takes(Append append) {
        long bytes = 0;
        for (KeyedRecord record : append.records()) {
            bytes += AppendLimits.LENGTH_BYTES + record.sizeBytes();
            if (!limits.fits(record) || record.key().equals(rejectedKey)) {
                return false;
            }
        }
        return bytes <= limits.callBytes();
    }

    private AppendOutcome apply(Append append) {
        switch (append.condition()) {
            case Append.Always always -> {}
            case Append.AtEnd at -> {
                if (at.offset() != records.size()) {
                    return new AppendOutcome.NotAtEnd(records.size());
                }
            }
            case Append.Writer writer -> {
                if (writer.epoch() < epoch) {
                    return new AppendOutcome.Deposed();
                }
                if (writer.epoch() > epoch) {
                    epoch = writer.epoch();
                    nextSequence = writer.sequence();
                }
                if (!append.records().isEmpty() && writer.sequence() != nextSequence) {
                    boolean repeat = writer.sequence() == nextSequence - 1;
                    return repeat ? new AppendOutcome.Appended(0) : new AppendOutcome.OutOfSequence(nextSequence);
                }
                nextSequence += append.records().isEmpty() ? 0 : 1;
            }
        }
        records.addAll(append.records());
        return new AppendOutcome.Appended(records.size() - append.records().size());
    }

    /** Expires all current records for reads by offset; the newest record of each key remains available. */
    synchronized void expireRecords() {
        first = records.size();
    }

    @Override
    public synchronized ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        calls++;
        if (failure == Failure.REFUSE) {
            return new ReadOutcome.Unavailable("refusing");
        }
        if (failure == Failure.REFUSE_ONCE) {
            failure = Failure.NONE;
            return new ReadOutcome.Unavailable("refusing once");
        }
        readWaits.add(waitMillis);
        if (from < first) {
            return new ReadOutcome.Expired(first);
        }
        int last = (int) Math.min(records.size(), from + maxReadRecords);
        return new ReadOutcome.Records(records.size(), records.subList((int) from, last));
    }

    @Override
    public synchronized NewestOutcome newest(String topic, String after, long deadline) {
        beforeNewest.accept(after);
        if (failure == Failure.REFUSE) {
            return new NewestOutcome.Unavailable("refusing");
        }
        TreeMap<String, NewestOutcome.Item> newest = new TreeMap<>();
        for (int i = 0; i < records.size(); i++) {
            newest.put(records.get(i).key(), new NewestOutcome.Item(records.get(i), i));
        }
        List<NewestOutcome.Item> items =
                new ArrayList<>(newest.tailMap(after, false).values());
        boolean more = items.size() > 1;
        return new NewestOutcome.Page(items.subList(0, Math.min(1, items.size())), more, records.size());
    }
}
