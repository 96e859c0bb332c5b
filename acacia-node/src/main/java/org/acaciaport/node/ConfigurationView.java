package org.acaciaport.node;

import java.util.Set;
import java.util.TreeSet;
import org.acaciaport.log.KeyedRecord;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.PoolSettings;
import org.jboss.logging.Logger;

/**
 * This node's view of the operators' configuration, with the moment as of which it is known to be the latest.
 *
 * <p>Thread-safe. The version of the configuration never decreases during the life of the process. Changed evacuations
 * take effect only when all records have been read, so that a new snapshot does not end them temporarily.
 */
final class ConfigurationView implements TopicConsumer.Sink {
    private static final Logger LOG = Logger.getLogger(ConfigurationView.class);

    private final OperatorRecordDecoder decoder;

    /** Data centres with an evacuation record in the log as far as it has been read. */
    private final Set<String> requestedEvacuations = new TreeSet<>();

    /** Data centres whose evacuation is in effect. */
    private Set<String> activeEvacuations = Set.of();

    private OperatorConfiguration latest;
    private ClockReading asOf;
    private Runnable listener = () -> {};
    private Runnable confirmer = () -> {};

    ConfigurationView(OperatorRecordDecoder decoder) {
        this.decoder = decoder;
    }

    @Override
    public synchronized void reset() {
        requestedEvacuations.clear();
    }

    @Override
    public synchronized void apply(KeyedRecord record, long offset) {
        switch (decoder.decodePublished(record)) {
            case OperatorRecordDecoder.Published published -> applyConfiguration(published.configuration());
            case OperatorRecordDecoder.Evacuation evacuation -> {
                if (evacuation.requested()) {
                    requestedEvacuations.add(evacuation.dataCentre());
                } else {
                    requestedEvacuations.remove(evacuation.dataCentre());
                }
            }
            case OperatorRecordDecoder.Ignored ignored ->
                LOG.infof("configuration: key=%s outcome=ignored reason=%s", record.key(), ignored.reason());
        }
    }

    private void applyConfiguration(OperatorConfiguration published) {
        if (latest != null && published.version() <= latest.version()) {
            return;
        }
        latest = published;
        listener.run();
        LOG.infof(
                "configuration: version=%s queues=%s services=%s accounts=%s outcome=in-force",
                published.version(),
                published.queues().size(),
                published.services().size(),
                published.accounts().size());
    }

    @Override
    public synchronized void caughtUp(ClockReading asOf, long nextOffset) {
        if (this.asOf == null || asOf.monotonicNanos() - this.asOf.monotonicNanos() > 0) {
            this.asOf = asOf;
        }
        if (!activeEvacuations.equals(requestedEvacuations)) {
            activeEvacuations = Set.copyOf(requestedEvacuations);
            LOG.infof("configuration: evacuated=%s offset=%s outcome=in-force", activeEvacuations, nextOffset);
            listener.run();
        }
    }

    /** Returns the latest configuration, or null if there is none yet. */
    synchronized OperatorConfiguration latest() {
        return latest;
    }

    /**
     * Returns the moment as of which the configuration is known to be the latest; null if the records have not been
     * read completely yet. While a snapshot is being read, that is the moment before it.
     */
    synchronized ClockReading asOf() {
        return asOf;
    }

    /** Returns the settings of the pool; empty ones while there is no configuration. */
    synchronized PoolSettings poolSettings() {
        return latest == null ? PoolSettings.EMPTY : latest.poolSettings(activeEvacuations);
    }

    /** Sets what reads the records to their end, so that {@link #asOf} advances; it must not block. */
    synchronized void setConfirmer(Runnable confirmer) {
        this.confirmer = confirmer;
    }

    /** Requests a read of the records to their end, without waiting for it. */
    void requestConfirmation() {
        Runnable requested;
        synchronized (this) {
            requested = confirmer;
        }
        requested.run();
    }

    /** Replaces the listener, which is called after each change, under this object's lock; it must not block. */
    synchronized void setListener(Runnable listener) {
        this.listener = listener;
    }
}
