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
 * A connection to another program that carries many exchanges at once.
 *
 * <p>Safe for use by several threads. The connection is opened at the first query and replaced after an error. One that
 * leaves a query unanswered is probed, and replaced when the probe stays unanswered too, so a peer that is merely slow
 * keeps its connection.
 */
public final class WireClient implements Closeable {
    private static final int CONNECT_MILLIS = 400;
    private static final long PROBE_MILLIS = 1_000;

    /** Pause after a failed connection in which further queries fail at once, in milliseconds. */
    private static final long RECONNECT_MILLIS = 300;

    /** Longest time without a word from a connection on which queries wait, in milliseconds. */
    private static final long SILENCE_MILLIS = 2_000;

    private final InetSocketAddress address;
    private final Object lock = new Object();
    private Link link;
    private boolean failed;

    /** When the next connection may be tried after one failed, as a reading of {@link System#nanoTime}. */
    private long retryAt;

    private WireClient(InetSocketAddress address) {
        this.address = address;
    }

    /** Returns a client of the program at {@code address}; connects when first used. */
    public static WireClient of(InetSocketAddress address) {
        return new WireClient(address);
    }

    /**
     * Sends {@code query} and waits for its reply.
     *
     * @param timeoutMillis longest time to wait for the reply, in milliseconds
     * @throws WireException if the query could not be sent or no reply arrived within the timeout
     */
    public Message call(Message query, long timeoutMillis) throws WireException {
        Link current = open();
        CompletableFuture<Message> reply = current.send(query, timeoutMillis);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (true) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
            try {
                return reply.get(Math.max(1, Math.min(left, SILENCE_MILLIS)), TimeUnit.MILLISECONDS);
            } catch (TimeoutException e) {
                if (!current.answers()) {
                    close(current);
                    throw new WireException(
                            WireException.Kind.NO_REPLY, "connection to " + address + " went silent; ask again", e);
                }
                if (left <= SILENCE_MILLIS) {
                    throw new WireException(
                            WireException.Kind.NO_REPLY, "no reply from " + address + " in time; ask again", e);
                }
            } catch (ExecutionException e) {
                close(current);
                throw new WireException(
                        WireException.Kind.NO_REPLY, "connection to " + address + " was lost; ask again", e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new WireException(WireException.Kind.NO_REPLY, "interrupted; ask again", e);
            }
        }
    }

    @Override
    public void close() {
        synchronized (lock) {
            if (link != null) {
                link.close();
                link = null;
            }
        }
    }

    private void close(Link broken) {
        broken.close();
        synchronized (lock) {
            if (link == broken) {
                link = null;
            }
        }
    }

    private Link open() throws WireException {
        synchronized (lock) {
            if (link != null && !link.closed()) {
                return link;
            }
            if (failed && System.nanoTime() - retryAt < 0) {
                throw new WireException(
                        WireException.Kind.NOT_SENT, "could not connect to " + address + " just now", null);
            }
            try {
                link = new Link(address);
                failed = false;
                return link;
            } catch (IOException e) {
                failed = true;
                retryAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RECONNECT_MILLIS);
                throw new WireException(
                        WireException.Kind.NOT_SENT,
                        "cannot connect to " + address + " (" + e.getMessage() + "); check that it runs",
                        e);
            }
        }
    }

    /** One open connection with its reader. */
    private static final class Link {
        private final Socket socket = new Socket();
        private final DataOutputStream out;
        private final Map<Long, CompletableFuture<Message>> pending = new ConcurrentHashMap<>();
        private final AtomicLong exchanges = new AtomicLong();
        private volatile long heardAt = System.nanoTime();
        private volatile boolean closed;

        Link(InetSocketAddress address) throws IOException {
            socket.connect(address, CONNECT_MILLIS);
            socket.setTcpNoDelay(true);
            out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            Thread.ofVirtual().name("wire-reader-" + address).start(() -> read(in));
        }

        CompletableFuture<Message> send(Message query, long millis) throws WireException {
            long exchange = exchanges.incrementAndGet();
            CompletableFuture<Message> reply = new CompletableFuture<>();
            pending.put(exchange, reply);
            reply.whenComplete((message, error) -> pending.remove(exchange));
            try {
                synchronized (out) {
                    Frames.write(out, new Envelope(Envelope.VERSION, exchange, false, millis, query));
                }
            } catch (IOException e) {
                close();
                throw new WireException(WireException.Kind.NO_REPLY, "connection was lost while sending; ask again", e);
            }
            return reply;
        }

        /** Returns whether the peer said anything lately or answers a probe now. */
        boolean answers() {
            if (System.nanoTime() - heardAt < TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS)) {
                return true;
            }
            try {
                send(new Message.Ping(), PROBE_MILLIS).get(PROBE_MILLIS, TimeUnit.MILLISECONDS);
                return true;
            } catch (TimeoutException | ExecutionException | WireException e) {
                return false;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }

        private void read(DataInputStream in) {
            try {
                while (true) {
                    Envelope envelope = Frames.read(in);
                    heardAt = System.nanoTime();
                    CompletableFuture<Message> reply = pending.get(envelope.exchange());
                    if (reply != null && envelope.reply()) {
                        reply.complete(envelope.message());
                    }
                }
            } catch (IOException e) {
                close();
                pending.values().forEach(reply -> reply.completeExceptionally(e));
            }
        }

        boolean closed() {
            return closed;
        }

        void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is given up either way.
            }
        }
    }
}
