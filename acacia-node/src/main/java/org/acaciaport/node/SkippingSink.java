package org.acaciaport.node;

import org.acaciaport.failure.Failures;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.jboss.logging.Logger;

/**
 * A sink that leaves out the records that another sink cannot apply, with a log line for each, so that one odd record
 * does not keep the later ones of its topic from being applied.
 *
 * <p>Guarded by the lock of its consumer, like the other sink. Does not undo what that sink did before it threw.
 */
final class SkippingSink implements TopicConsumer.Sink {
    private static final Logger LOG = Logger.getLogger(SkippingSink.class);

    private final String topic;
    private final TopicConsumer.Sink sink;

    SkippingSink(String topic, TopicConsumer.Sink sink) {
        this.topic = topic;
        this.sink = sink;
    }

    @Override
    public void reset() {
        sink.reset();
    }

    @Override
    public void apply(KeyedRecord record, long offset) {
        try {
            sink.apply(record, offset);
        } catch (RuntimeException | StackOverflowError e) {
            LOG.errorf(
                    "consume: topic=%s key=%s offset=%s outcome=skipped reason=%s",
                    topic, record.key(), offset, Failures.reasonOf(e));
        }
    }

    @Override
    public void caughtUp(ClockReading asOf, long nextOffset) {
        sink.caughtUp(asOf, nextOffset);
    }
}
