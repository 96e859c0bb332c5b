package org.acaciaport.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireClient;
import org.acaciaport.wire.WireException;

/**
 * The other nodes, asked in turn.
 *
 * <p>Safe for use by several threads. The one that answered last is asked first, those that failed last come last, so
 * that every peer has its turn.
 */
final class Peers {
    /** Most peers that one call is sent to. */
    private static final int MOST_TRIES = 3;

    private final String self;
    private final Supplier<List<String>> addresses;
    private final Map<String, WireClient> clients = new ConcurrentHashMap<>();
    private final Map<String, Long> failures = new ConcurrentHashMap<>();
    private final AtomicLong failureCount = new AtomicLong();
    private volatile String preferred = "";

    /**
     * Creates the list.
     *
     * @param self this node's own address, which is never asked
     * @param addresses where the others may be
     */
    Peers(String self, Supplier<List<String>> addresses) {
        this.self = self;
        this.addresses = addresses;
    }

    /** Returns the addresses to try, the best first. */
    List<String> candidates() {
        List<String> order = new ArrayList<>();
        for (String address : addresses.get()) {
            if (!address.equals(self) && !order.contains(address)) {
                order.add(address);
            }
        }
        String first = preferred;
        order.sort(Comparator.comparing((String address) -> !address.equals(first))
                .thenComparing(address -> failures.getOrDefault(address, 0L)));
        return order.subList(0, Math.min(MOST_TRIES, order.size()));
    }

    /**
     * Asks one peer.
     *
     * @throws WireException if no reply came in time
     */
    Message ask(String address, Message query, long millis) throws WireException {
        WireClient client = clients.computeIfAbsent(address, Peers::connect);
        Message reply = client.call(query, millis);
        preferred = address;
        return reply;
    }

    /** Asks the other peers first from now on. */
    void demote(String address) {
        failures.put(address, failureCount.incrementAndGet());
        if (address.equals(preferred)) {
            preferred = "";
        }
    }

    private static WireClient connect(String address) {
        int colon = address.lastIndexOf(':');
        return WireClient.of(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
    }
}
