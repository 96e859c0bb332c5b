package org.acaciaport.gateway;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.acaciaport.program.SettingsCheck;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireClient;
import org.acaciaport.wire.WireException;
import org.jboss.logging.Logger;

/**
 * The connections to all schedulers in the settings, and the routing table built from the views that they report.
 *
 * <p>After {@link #start}, one virtual thread per scheduler polls its view until {@link #close}.
 *
 * <p>Thread-safe. {@link #routingTable} never blocks.
 */
final class SchedulerClients implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(SchedulerClients.class);
    private static final long POLL_INTERVAL_MILLIS = 400;
    private static final long POLL_TIMEOUT_MILLIS = 1_500;

    /** How long a view stays fresh; long enough that a few failed polls do not drop a scheduler from routing. */
    private static final long VIEW_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final AtomicReference<RoutingTable> routingTable = new AtomicReference<>(RoutingTable.EMPTY);
    private final Map<String, WireClient> clients = new HashMap<>();
    private final MetricRegistry metrics;
    private volatile boolean open = true;

    SchedulerClients(GatewaySettings settings, MetricRegistry metrics) {
        this.metrics = metrics;
        for (GatewaySettings.Scheduler scheduler : settings.schedulers()) {
            InetSocketAddress address = SettingsCheck.parseAddress(scheduler.address());
            clients.put(scheduler.address(), WireClient.of(address));
        }
    }

    /** Starts polling the schedulers. */
    void start() {
        clients.forEach((address, client) ->
                Thread.ofVirtual().name("look-" + address).start(() -> pollViews(address, client)));
    }

    RoutingTable routingTable() {
        return routingTable.get();
    }

    /**
     * Sends {@code query} to the scheduler at {@code address} and waits for its reply.
     *
     * @throws WireException if no reply arrives within {@code timeoutMillis} milliseconds, or the settings do not name
     *     a scheduler at {@code address}
     */
    Message call(String address, Message query, long timeoutMillis) throws WireException {
        WireClient client = clients.get(address);
        if (client == null) {
            throw new WireException(
                    WireException.Kind.NOT_SENT, "scheduler " + address + " is not in the settings; add it", null);
        }
        try {
            return client.call(query, timeoutMillis);
        } catch (WireException e) {
            metrics.counter("wire.failed").inc();
            throw e;
        }
    }

    @Override
    public void close() {
        open = false;
        clients.values().forEach(WireClient::close);
    }

    private void pollViews(String address, WireClient client) {
        // Only the first failure after a success is logged.
        boolean lastPollSucceeded = true;
        while (open) {
            try {
                Message reply = client.call(
                        new Message.Look(
                                routingTable.get().activeConfiguration().revision()),
                        POLL_TIMEOUT_MILLIS);
                if (reply instanceof Message.View view) {
                    RoutingTable.CachedView cachedView =
                            new RoutingTable.CachedView(view, System.nanoTime() + VIEW_LIFETIME_NANOS);
                    routingTable.updateAndGet(table -> table.withView(address, cachedView));
                }
                lastPollSucceeded = true;
            } catch (WireException e) {
                if (lastPollSucceeded) {
                    LOG.warnf("cells: no view, scheduler=%s, %s", address, e.getMessage());
                }
                lastPollSucceeded = false;
            }
            sleepUntilNextPoll();
        }
    }

    private void sleepUntilNextPoll() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            open = false;
        }
    }
}
