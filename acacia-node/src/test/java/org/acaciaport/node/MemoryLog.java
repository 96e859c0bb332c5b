package org.acaciaport.node;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;

/** One topic in memory with the conditions of the shared log; it can be made to fail. */
final class MemoryLog implements KeyedLog {
    /** How calls fail. */
    enum Failure {
        NONE,
        /** Nothing is done. */
        REFUSE,
        /** It is done, and the answer is lost. */
        LOSE_ANSWER
    }

    private final List<KeyedRecord> records = new ArrayList<>();
    private long epoch;
    private long nextSequence;
    private int first;
    volatile Failure failure = Failure.NONE;
    volatile int calls;

    /** How long the answered reads were allowed to wait for news, in milliseconds. */
    final List<Long> waits = new CopyOnWriteArrayList<>();

    @Override
    public synchronized AppendOutcome append(Append append, long deadline) {
        calls++;
        if (failure == Failure.REFUSE) {
            return new AppendOutcome.Refused("refusing");
        }
        AppendOutcome outcome = apply(append);
        return failure == Failure.LOSE_ANSWER ? new AppendOutcome.Unknown("lost") : outcome;
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

    /** Drops all but the newest record of each key. */
    synchronized void forgetHistory() {
        first = records.size();
    }

    @Override
    public synchronized ReadOutcome read(String topic, long from, long waitMillis, long deadline) {
        calls++;
        if (failure == Failure.REFUSE) {
            return new ReadOutcome.Unavailable("refusing");
        }
        waits.add(waitMillis);
        if (from < first) {
            return new ReadOutcome.Expired(first);
        }
        return new ReadOutcome.Records(records.size(), records.subList((int) from, records.size()));
    }

    @Override
    public synchronized NewestOutcome newest(String topic, String after, long deadline) {
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
