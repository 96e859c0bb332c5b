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
 * Asks every scheduler how it sees the system, again and again, and keeps the connections to them.
 *
 * <p>Safe for use by several threads. Readers of the routing table never wait.
 */
final class Cells implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Cells.class);
    private static final long PERIOD_MILLIS = 400;
    private static final long ANSWER_MILLIS = 1_500;

    /** A view counts for this long; longer than a few missed answers. */
    private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final AtomicReference<RoutingTable> table = new AtomicReference<>(RoutingTable.EMPTY);
    private final Map<String, WireClient> clients = new HashMap<>();
    private final MetricRegistry metrics;
    private volatile boolean open = true;

    Cells(GatewaySettings settings, MetricRegistry metrics) {
        this.metrics = metrics;
        for (GatewaySettings.Scheduler scheduler : settings.schedulers()) {
            InetSocketAddress address = SettingsCheck.parse(scheduler.address());
            clients.put(scheduler.address(), WireClient.of(address));
        }
    }

    void start() {
        clients.forEach(
                (address, client) -> Thread.ofVirtual().name("look-" + address).start(() -> look(address, client)));
    }

    RoutingTable table() {
        return table.get();
    }

    /**
     * Sends {@code query} to the scheduler at {@code address}.
     *
     * @throws WireException if no reply came within {@code millis} milliseconds, or the address is not in the settings
     */
    Message ask(String address, Message query, long millis) throws WireException {
        WireClient client = clients.get(address);
        if (client == null) {
            throw new WireException(
                    WireException.Kind.NOT_SENT, "scheduler " + address + " is not in the settings; add it", null);
        }
        try {
            return client.call(query, millis);
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

    private void look(String address, WireClient client) {
        boolean answered = true;
        while (open) {
            try {
                Message reply =
                        client.call(new Message.Look(table.get().active().revision()), ANSWER_MILLIS);
                if (reply instanceof Message.View view) {
                    RoutingTable.Seen seen = new RoutingTable.Seen(view, System.nanoTime() + VALID_NANOS);
                    table.updateAndGet(t -> t.with(address, seen));
                }
                answered = true;
            } catch (WireException e) {
                if (answered) {
                    LOG.warnf("cells: no view, scheduler=%s, %s", address, e.getMessage());
                }
                answered = false;
            }
            pause();
        }
    }

    private void pause() {
        try {
            Thread.sleep(PERIOD_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            open = false;
        }
    }
}
