package org.acaciaport.node;

import java.util.function.Consumer;
import org.acaciaport.pool.ClockReading;
import org.acaciaport.pool.Pool;

/**
 * Keeps the settings of the pool of a term in step with the operators' configuration, and writes to the log which jobs
 * have followed their queues to other services.
 *
 * <p>Confined to the thread of the term.
 */
final class PoolConfigurator {
    /** Shortest time between requests to confirm the configuration, in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLIS = 100;

    private final Pool pool;
    private final ConfigurationView configuration;
    private final TermWriter writer;
    private final long startNanos;
    private long nextRequestNanos;

    /** Since when the configuration that the pool has was known to be the latest; null if it was not. */
    private ClockReading configuredAsOf;

    /** Whether the configuration was known to be the latest at a moment of this term. */
    private boolean confirmed;

    /** Creates a configurator of a term that starts at {@code now}. */
    PoolConfigurator(Pool pool, ConfigurationView configuration, TermWriter writer, ClockReading now) {
        this.pool = pool;
        this.configuration = configuration;
        this.writer = writer;
        startNanos = now.monotonicNanos();
        nextRequestNanos = startNanos;
    }

    /** Configures the pool now and, by way of {@code post}, at each change, on the thread of the term. */
    void start(Consumer<Runnable> post) {
        configuration.setListener(() -> post.accept(this::configure));
        configure();
    }

    private void configure() {
        // Settings that are read after the moment are at least as new.
        ClockReading asOf = configuration.asOf();
        configuredAsOf = asOf;
        pool.configure(configuration.poolSettings());
        if (asOf != null) {
            pool.confirmSettings(asOf);
            confirmed |= asOf.monotonicNanos() - startNanos >= 0;
        }
    }

    /**
     * Returns whether work may start: not before the configuration was confirmed in this term, since an earlier leader
     * may have acted on a newer one.
     */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Confirms the configuration if the term or a job waits for that. */
    void review(ClockReading now) {
        if (confirmed && !pool.awaitsSettings()) {
            return;
        }
        if (configuration.asOf() != configuredAsOf) {
            configure();
        }
        if (now.monotonicNanos() - nextRequestNanos >= 0) {
            nextRequestNanos = now.nanosAfter(REQUEST_INTERVAL_MILLIS);
            configuration.requestConfirmation();
        }
    }

    /** Passes the services of jobs that have moved to the writer, for the next append. */
    void writeMovedJobs() {
        pool.takeMovedJobs().forEach((job, service) -> writer.write(new ServiceRecord(job, service)));
    }

    /** Hears of no further changes. */
    void stop() {
        configuration.setListener(() -> {});
    }
}
