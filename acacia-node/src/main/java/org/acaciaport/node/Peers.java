package org.acaciaport.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.acaciaport.address.SocketAddresses;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireClient;
import org.acaciaport.wire.WireException;

/**
 * The other nodes as relays to the log.
 *
 * <p>Thread-safe. The peer that answered last is preferred; the others are ordered by their latest failure, longest ago
 * first, so that each is tried eventually, and otherwise in an order of this node's own.
 */
final class Peers {
    /** Largest number of peers that one call is sent to. */
    private static final int MAX_CANDIDATES = 3;

    /** Spreads hash codes of similar addresses over all numbers; 2 to the 32 divided by the golden ratio. */
    private static final int HASH_MULTIPLIER = 0x9E3779B9;

    private final String self;
    private final Supplier<List<String>> addresses;
    private final Map<String, WireClient> clients = new ConcurrentHashMap<>();

    /** Sequence number of the latest failure of each address that failed. */
    private final Map<String, Long> lastFailures = new ConcurrentHashMap<>();

    private final AtomicLong failureCount = new AtomicLong();
    private volatile String preferred = "";

    /**
     * Creates the set of peers.
     *
     * @param self this node's own address, which is left out
     * @param addresses supplies the addresses of the other nodes, which may be stale
     */
    Peers(String self, Supplier<List<String>> addresses) {
        this.self = self;
        this.addresses = addresses;
    }

    /** Returns a number that orders peers differently on each node, so that not all ask the same peer first. */
    private int rank(String address) {
        return (self + ' ' + address).hashCode() * HASH_MULTIPLIER;
    }

    /** Returns the addresses to try, in order. */
    List<String> candidates() {
        List<String> order = new ArrayList<>();
        for (String address : addresses.get()) {
            if (!address.equals(self) && !order.contains(address)) {
                order.add(address);
            }
        }
        String first = preferred;
        order.sort(Comparator.comparing((String address) -> !address.equals(first))
                .thenComparing(address -> lastFailures.getOrDefault(address, 0L))
                .thenComparingInt(this::rank));
        return order.subList(0, Math.min(MAX_CANDIDATES, order.size()));
    }

    /**
     * Sends a call of the log to one peer, which is preferred from then on, and returns its reply.
     *
     * @throws WireException if no reply came in time
     */
    Message ask(String address, Message query, long timeoutMillis) throws WireException {
        Message reply = send(address, query, timeoutMillis);
        preferred = address;
        return reply;
    }

    /**
     * Sends any message to one peer and returns its reply, which tells nothing of it as a relay.
     *
     * @throws WireException if no reply came in time
     */
    Message send(String address, Message query, long timeoutMillis) throws WireException {
        return clientOf(address).call(query, timeoutMillis);
    }

    /** Records that a peer did not relay a call, so that the others are tried before it. */
    void recordFailure(String address) {
        lastFailures.put(address, failureCount.incrementAndGet());
        if (address.equals(preferred)) {
            preferred = "";
        }
    }

    private WireClient clientOf(String address) throws WireException {
        WireClient known = clients.get(address);
        if (known != null) {
            return known;
        }
        InetSocketAddress parsed = SocketAddresses.parseRemote(address)
                .orElseThrow(() -> new WireException(
                        WireException.Kind.NOT_SENT, "peer address '" + address + "' is not IP:PORT", null));
        return clients.computeIfAbsent(address, missing -> WireClient.of(parsed));
    }
}
