package org.acaciaport.node;

import java.util.Set;
import java.util.TreeSet;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.PoolSettings;
import org.jboss.logging.Logger;

/**
 * What this node knows of the operators' publications, and since when for sure.
 *
 * <p>Safe for use by several threads. The version never falls while the process lives. Evacuations count once all
 * records are there, so that a re-read from the start does not end them for a moment.
 */
final class OperatorView implements Follower.Sink {
    private static final Logger LOG = Logger.getLogger(OperatorView.class);

    private final OperatorCodec codec;
    private final Set<String> asked = new TreeSet<>();
    private Set<String> evacuated = Set.of();
    private AccessList accessList;
    private ClockReading asOf;
    private Runnable listener = () -> {};

    OperatorView(OperatorCodec codec) {
        this.codec = codec;
    }

    @Override
    public synchronized void reset() {
        asked.clear();
        asOf = null;
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        switch (codec.decodePublished(record)) {
            case OperatorCodec.Published published -> publish(published.accessList());
            case OperatorCodec.Evacuation evacuation -> {
                if (evacuation.asked()) {
                    asked.add(evacuation.dataCentre());
                } else {
                    asked.remove(evacuation.dataCentre());
                }
            }
            case OperatorCodec.Ignored ignored ->
                LOG.infof("configuration: key=%s outcome=ignored reason=%s", record.key(), ignored.reason());
        }
    }

    private void publish(AccessList published) {
        if (accessList != null && published.version() <= accessList.version()) {
            return;
        }
        accessList = published;
        listener.run();
        LOG.infof(
                "configuration: version=%s queues=%s accounts=%s outcome=in-force",
                published.version(),
                published.queues().size(),
                published.guarantees().size());
    }

    @Override
    public synchronized void caughtUp(ClockReading moment, long next) {
        asOf = moment;
        if (!evacuated.equals(asked)) {
            evacuated = Set.copyOf(asked);
            LOG.infof("configuration: evacuated=%s offset=%s outcome=in-force", evacuated, next);
            listener.run();
        }
    }

    /** Returns the newest publication, or null if there is none yet. */
    synchronized AccessList accessList() {
        return accessList;
    }

    /** Returns a moment as of which the publication is known to be the newest, or null if there is none. */
    synchronized ClockReading asOf() {
        return asOf;
    }

    synchronized PoolSettings poolSettings() {
        return accessList == null ? PoolSettings.EMPTY : accessList.poolSettings(evacuated);
    }

    /** Calls {@code listener} after each change; it must not block. */
    synchronized void listen(Runnable listener) {
        this.listener = listener;
    }
}
