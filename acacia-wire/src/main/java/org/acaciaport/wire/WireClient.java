package org.acaciaport.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client of one {@link WireServer} that multiplexes concurrent queries over a single TCP connection.
 *
 * <p>Thread-safe. The connection is opened by the first query and replaced after an error. If a query stays unanswered
 * while nothing else arrives on the connection, the client sends a {@link Message.Ping}; only if that times out as well
 * is the connection closed, so a peer that answers slowly keeps its connection.
 */
public final class WireClient implements Closeable {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;

    /** Time after a failed connection attempt during which queries fail at once without another attempt. */
    private static final long RECONNECT_BACKOFF_MILLIS = 300;

    /** Time without incoming data after which a connection with an unanswered query is probed. */
    private static final long SILENCE_THRESHOLD_MILLIS = 2_000;

    private final InetSocketAddress address;
    private final Object lock = new Object();
    private Connection connection;

    /** Whether the last attempt to connect failed. */
    private boolean connectFailed;

    /** Earliest time of the next attempt after a failed one, as a value of {@link System#nanoTime}. */
    private long nextConnectNanos;

    private WireClient(InetSocketAddress address) {
        this.address = address;
    }

    /** Returns a client of the server at {@code address}. The connection is opened by the first query. */
    public static WireClient of(InetSocketAddress address) {
        return new WireClient(address);
    }

    /**
     * Sends {@code query} and blocks until its reply arrives or the timeout expires.
     *
     * <p>The timeout does not include the time to open a connection before the query or to probe one after it.
     *
     * @param timeoutMillis the timeout, in milliseconds; also sent along, so that the server knows how long the client
     *     waits
     * @throws WireException if the query could not be sent or no reply arrived within the timeout
     */
    public Message call(Message query, long timeoutMillis) throws WireException {
        Connection current = open();
        CompletableFuture<Message> reply = current.send(query, timeoutMillis);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (true) {
            long remaining = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            try {
                return reply.get(Math.max(1, Math.min(remaining, SILENCE_THRESHOLD_MILLIS)), TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                if (!current.isResponsive()) {
                    close(current);
                    throw new WireException(
                            WireException.Kind.NO_REPLY,
                            "connection to " + address + " does not answer a ping; try again",
                            e);
                }
                if (remaining <= SILENCE_THRESHOLD_MILLIS) {
                    throw new WireException(
                            WireException.Kind.NO_REPLY, "no reply from " + address + " in time; try again", e);
                }
            } catch (ExecutionException e) {
                close(current);
                throw new WireException(
                        WireException.Kind.NO_REPLY, "connection to " + address + " was lost; try again", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new WireException(
                        WireException.Kind.NO_REPLY, "interrupted while waiting for a reply; try again", e);
            }
        }
    }

    @Override
    public void close() {
        synchronized (lock) {
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }
    }

    private void close(Connection broken) {
        broken.close();
        synchronized (lock) {
            if (connection == broken) {
                connection = null;
            }
        }
    }

    private Connection open() throws WireException {
        synchronized (lock) {
            if (connection != null && !connection.isClosed()) {
                return connection;
            }
            if (connectFailed && System.nanoTime() - nextConnectNanos < 0) {
                throw new WireException(
                        WireException.Kind.NOT_SENT,
                        "the last attempt to connect to " + address + " failed; try again later",
                        null);
            }
            try {
                connection = new Connection(address);
                connectFailed = false;
                return connection;
            } catch (IOException e) {
                connectFailed = true;
                nextConnectNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECONNECT_BACKOFF_MILLIS);
                throw new WireException(
                        WireException.Kind.NOT_SENT,
                        "cannot connect to " + address + " (" + e.getMessage() + "); check that the program runs",
                        e);
            }
        }
    }

    /** An open connection and the thread that reads replies from it. */
    private static final class Connection {
        private final Socket socket = new Socket();
        private final DataOutputStream out;

        /** Replies that have not arrived, by the number of the exchange. */
        private final Map<Long, CompletableFuture<Message>> pending = new ConcurrentHashMap<>();

        private final AtomicLong lastExchange = new AtomicLong();
        private volatile long lastReceivedNanos = System.nanoTime();
        private volatile boolean closed;

        Connection(InetSocketAddress address) throws IOException {
            socket.connect(address, CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Thread.ofVirtual().name("wire-reader-" + address).start(() -> readReplies(in));
        }

        CompletableFuture<Message> send(Message query, long timeoutMillis) throws WireException {
            long exchange = lastExchange.incrementAndGet();
            CompletableFuture<Message> reply = new CompletableFuture<>();
            pending.put(exchange, reply);
            reply.whenComplete((message, error) -> pending.remove(exchange));
            try {
                synchronized (out) {
                    Frames.write(out, new Envelope(Envelope.VERSION, exchange, false, timeoutMillis, query));
                }
            } catch (IOException e) {
                close();
                throw new WireException(WireException.Kind.NO_REPLY, "connection was lost while sending; try again", e);
            }
            return reply;
        }

        /** Returns whether the peer has sent anything recently or answers a ping now. Blocks for the ping. */
        boolean isResponsive() {
            if (System.nanoTime() - lastReceivedNanos < TimeUnit.MILLISECONDS.toNanos(SILENCE_THRESHOLD_MILLIS)) {
                return true;
            }
            try {
                send(new Message.Ping(), PROBE_TIMEOUT_MILLIS).get(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                return true;
            } catch (TimeoutException | ExecutionException | WireException e) {
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        private void readReplies(DataInputStream in) {
            try {
                while (true) {
                    Envelope envelope = Frames.read(in);
                    lastReceivedNanos = System.nanoTime();
                    CompletableFuture<Message> reply = pending.get(envelope.exchange());
                    if (reply != null && envelope.reply()) {
                        reply.complete(envelope.message());
                    }
                }
            } catch (IOException | RuntimeException e) {
                close();
                pending.values().forEach(reply -> reply.completeExceptionally(e));
            }
        }

        boolean isClosed() {
            return closed;
        }

        void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing to do: the connection is no longer used.
            }
        }
    }
}
