package org.acaciaport.node;

import org.acaciaport.log.Append;
import org.acaciaport.log.AppendOutcome;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.wire.Message;

/**
 * Creates calls of the log, each with its message to a peer and the time that it may take.
 *
 * <p>Thread-safe. Calls of the same kind share their timeouts, which adapt to the durations of earlier calls.
 */
final class LogCalls {
    /** Time for the transfer of the records of a read on a slow link that several reads share, in milliseconds. */
    private static final long READ_TRANSFER_MILLIS = 300;

    /** Time for the transfer of a page of a snapshot, up to 1 MB, on a slow link, in milliseconds. */
    private static final long PAGE_TRANSFER_MILLIS = 2_000;

    /**
     * Longest time for which a peer holds back the answer to a relayed read, in milliseconds: while it does, it cannot
     * be told from one that has fallen silent.
     */
    private static final long MAX_RELAYED_WAIT_MILLIS = 250;

    /** No key of a topic is higher. */
    private static final String LAST_KEY = "~~~~";

    /** Size of an append up to which its transfer takes no time worth counting, in bytes. */
    private static final long SMALL_APPEND_BYTES = 16 << 10;

    /** Bytes that a slow link transfers in a millisecond, beside other traffic. */
    private static final long SLOW_LINK_BYTES_PER_MILLI = 400;

    private final KeyedLog direct;
    private final RouteTimeouts appendTimeouts = RouteTimeouts.of(0);
    private final RouteTimeouts readTimeouts = RouteTimeouts.of(READ_TRANSFER_MILLIS);
    private final RouteTimeouts pageTimeouts = RouteTimeouts.of(PAGE_TRANSFER_MILLIS);

    /**
     * Creates a source of calls.
     *
     * @param direct the log on the direct route
     */
    LogCalls(KeyedLog direct) {
        this.direct = direct;
    }

    LogCall<AppendOutcome> append(Append append) {
        return new LogCall<>(
                appendTimeouts,
                transferMillis(append),
                transferMillis(append),
                deadline -> direct.append(append, deadline),
                new Message.AppendLog(append),
                reply -> reply instanceof Message.LogAppended answer ? answer.outcome() : null,
                LogCalls::isAnswer,
                outcome -> outcome instanceof AppendOutcome.Refused,
                !(append.condition() instanceof Append.AtEnd));
    }

    /** Returns the time that a slow link needs to transfer {@code append}, in milliseconds; 0 if that is negligible. */
    static long transferMillis(Append append) {
        long bytes = 0;
        for (KeyedRecord record : append.records()) {
            bytes += record.key().length() + record.value().length;
        }
        return bytes < SMALL_APPEND_BYTES ? 0 : bytes / SLOW_LINK_BYTES_PER_MILLI;
    }

    private static boolean isAnswer(AppendOutcome outcome) {
        return switch (outcome) {
            case AppendOutcome.Refused refused -> false;
            case AppendOutcome.Unknown unknown -> false;
            case AppendOutcome.Appended appended -> true;
            case AppendOutcome.NotAtEnd other -> true;
            case AppendOutcome.Deposed deposed -> true;
            case AppendOutcome.OutOfSequence other -> true;
            case AppendOutcome.Rejected rejected -> true;
        };
    }

    /**
     * Returns a call that reads records.
     *
     * @param waitMillis how long the log may wait for new records, in milliseconds
     */
    LogCall<ReadOutcome> read(String topic, long from, long waitMillis) {
        long relayedWaitMillis = Math.min(waitMillis, MAX_RELAYED_WAIT_MILLIS);
        return new LogCall<>(
                readTimeouts,
                waitMillis,
                relayedWaitMillis,
                deadline -> direct.read(topic, from, waitMillis, deadline),
                new Message.ReadLog(topic, from, relayedWaitMillis),
                reply -> reply instanceof Message.LogRead answer ? answer.outcome() : null,
                outcome -> !(outcome instanceof ReadOutcome.Unavailable),
                outcome -> true,
                true);
    }

    LogCall<NewestOutcome> newest(String topic, String after) {
        return newest(topic, after, pageTimeouts);
    }

    /** Returns a call that is answered briefly, as no key follows the one it asks for. */
    LogCall<NewestOutcome> probe(String topic) {
        return newest(topic, LAST_KEY, readTimeouts);
    }

    private LogCall<NewestOutcome> newest(String topic, String after, RouteTimeouts timeouts) {
        return new LogCall<>(
                timeouts,
                0,
                0,
                deadline -> direct.newest(topic, after, deadline),
                new Message.ReadNewest(topic, after),
                reply -> reply instanceof Message.NewestRead answer ? answer.outcome() : null,
                outcome -> outcome instanceof NewestOutcome.Page,
                outcome -> true,
                true);
    }
}
