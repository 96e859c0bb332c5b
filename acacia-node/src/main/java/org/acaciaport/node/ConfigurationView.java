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
final class ConfigurationView implements TopicConsumer.Sink {
    private static final Logger LOG = Logger.getLogger(ConfigurationView.class);

    private final OperatorCodec codec;
    private final Set<String> requested = new TreeSet<>();
    private Set<String> evacuated = Set.of();
    private OperatorConfiguration configuration;
    private ClockReading asOf;
    private Runnable listener = () -> {};

    ConfigurationView(OperatorCodec codec) {
        this.codec = codec;
    }

    @Override
    public synchronized void reset() {
        requested.clear();
        asOf = null;
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        switch (codec.decodePublished(record)) {
            case OperatorCodec.Published published -> publish(published.configuration());
            case OperatorCodec.Evacuation evacuation -> {
                if (evacuation.requested()) {
                    requested.add(evacuation.dataCentre());
                } else {
                    requested.remove(evacuation.dataCentre());
                }
            }
            case OperatorCodec.Ignored ignored ->
                LOG.infof("configuration: key=%s outcome=ignored reason=%s", record.key(), ignored.reason());
        }
    }

    private void publish(OperatorConfiguration published) {
        if (configuration != null && published.version() <= configuration.version()) {
            return;
        }
        configuration = published;
        listener.run();
        LOG.infof(
                "configuration: version=%s queues=%s accounts=%s outcome=in-force",
                published.version(),
                published.queues().size(),
                published.guaranteedAccelerators().size());
    }

    @Override
    public synchronized void caughtUp(ClockReading moment, long next) {
        asOf = moment;
        if (!evacuated.equals(requested)) {
            evacuated = Set.copyOf(requested);
            LOG.infof("configuration: evacuated=%s offset=%s outcome=in-force", evacuated, next);
            listener.run();
        }
    }

    /** Returns the newest publication, or null if there is none yet. */
    synchronized OperatorConfiguration configuration() {
        return configuration;
    }

    /** Returns a moment as of which the publication is known to be the newest, or null if there is none. */
    synchronized ClockReading asOf() {
        return asOf;
    }

    synchronized PoolSettings poolSettings() {
        return configuration == null ? PoolSettings.EMPTY : configuration.poolSettings(evacuated);
    }

    /** Calls {@code listener} after each change; it must not block. */
    synchronized void listen(Runnable listener) {
        this.listener = listener;
    }
}
