package org.acaciaport.node;

import java.util.List;
import org.acaciaport.log.KeyedLog;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.log.NewestOutcome;
import org.acaciaport.log.ReadOutcome;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * Follows one topic of the log and hands its records to a sink, in order.
 *
 * <p>Runs on a thread of its own. Starts from the newest record of each key, and does so again whenever records it
 * needs have expired. The first read after one that failed does not wait for news, so that the copy counts as current
 * as soon as the log is back. {@link #catchUp} may be called by any thread.
 */
final class TopicConsumer {
    private static final Logger LOG = Logger.getLogger(TopicConsumer.class);

    /** Time allowed to an answer beyond the wait that was asked for, in milliseconds. */
    private static final long ANSWER_MILLIS = 2_500;

    /** Pause after a read that failed, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** Takes the records of a topic. Calls come one at a time, under the follower's lock. */
    interface Sink {
        /** Forgets everything; the newest records follow. */
        void reset();

        /** Takes one record. Its offset is higher than that of earlier records with the same key. */
        void apply(KeyedRecord record, long offset);

        /**
         * Has everything that was in the topic at {@code asOf}.
         *
         * @param next offset of the next record
         */
        void caughtUp(ClockReading asOf, long next);
    }

    /**
     * How a topic is read.
     *
     * @param waitMillis longest wait of a read for a record, in milliseconds
     * @param pauseMillis pause between two reads, in milliseconds
     */
    record PollSettings(long waitMillis, long pauseMillis) {}

    private final String topic;
    private final KeyedLog log;
    private final Sink sink;
    private final PollSettings pace;
    private volatile long pauseMillis;
    private final Object lock = new Object();
    private final Thread thread;
    private volatile boolean stopped;
    private long next = -1;
    private boolean lost;

    TopicConsumer(String topic, KeyedLog log, PollSettings pace, Sink sink) {
        this.topic = topic;
        this.log = log;
        this.pace = pace;
        pauseMillis = pace.pauseMillis();
        this.sink = sink;
        thread = Thread.ofVirtual().name("follow-" + topic).unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run() {
        while (!stopped) {
            boolean answered = step(lost ? 0 : pace.waitMillis());
            noteAnswer(answered);
            long pause = answered ? pauseMillis : RETRY_MILLIS;
            if (pause > 0 && !Clocks.sleep(pause)) {
                return;
            }
        }
    }

    private void noteAnswer(boolean answered) {
        if (answered == lost) {
            lost = !answered;
            LOG.infof("dependency: log topic=%s outcome=%s", topic, answered ? "regained" : "lost");
        }
    }

    /** Reads without a pause from now on, or with the usual one. */
    void hurry(boolean now) {
        pauseMillis = now ? 0 : pace.pauseMillis();
    }

    /** Reads up to the end as of now or later; returns false if that was not possible by {@code deadline}. */
    boolean catchUp(long deadline) {
        while (Clocks.millisUntil(deadline) > 0) {
            if (step(0)) {
                return true;
            }
            if (!Clocks.sleep(RETRY_MILLIS)) {
                return false;
            }
        }
        return false;
    }

    /** Reads once; returns whether everything as of the call has been handed over. */
    private boolean step(long waitMillis) {
        long from;
        synchronized (lock) {
            from = next;
        }
        if (from < 0) {
            return restart() && step(0);
        }
        ClockReading asOf = Clocks.now();
        return switch (log.read(topic, from, waitMillis, Clocks.in(waitMillis + ANSWER_MILLIS))) {
            case ReadOutcome.Records records -> take(records, from, asOf);
            case ReadOutcome.Expired expired -> {
                LOG.infof("follow: topic=%s from=%s first=%s outcome=restart", topic, from, expired.first());
                synchronized (lock) {
                    next = -1;
                }
                yield restart() && step(0);
            }
            case ReadOutcome.Unavailable unavailable -> {
                LOG.debugf("follow: topic=%s outcome=unavailable reason=%s", topic, unavailable.reason());
                yield false;
            }
        };
    }

    private boolean take(ReadOutcome.Records read, long from, ClockReading asOf) {
        synchronized (lock) {
            List<KeyedRecord> records = read.records();
            for (int i = 0; i < records.size(); i++) {
                if (from + i >= next) {
                    sink.apply(records.get(i), from + i);
                    next = from + i + 1;
                }
            }
            if (next < read.end()) {
                return false;
            }
            sink.caughtUp(asOf, next);
            return true;
        }
    }

    /** Takes the newest records; what changed meanwhile is read afterwards. */
    private boolean restart() {
        synchronized (lock) {
            if (next >= 0) {
                return true;
            }
            sink.reset();
            String after = "";
            long end = -1;
            while (true) {
                NewestOutcome outcome = log.newest(topic, after, Clocks.in(ANSWER_MILLIS));
                if (!(outcome instanceof NewestOutcome.Page page)) {
                    return false;
                }
                end = end < 0 ? page.end() : end;
                for (NewestOutcome.Item item : page.items()) {
                    after = item.record().key();
                    if (item.offset() < end) {
                        sink.apply(item.record(), item.offset());
                    }
                }
                if (!page.more()) {
                    break;
                }
            }
            next = end;
            return true;
        }
    }
}
