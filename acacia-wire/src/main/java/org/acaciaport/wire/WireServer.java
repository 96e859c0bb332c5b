package org.acaciaport.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that accepts connections from {@link WireClient}s and answers their queries concurrently.
 *
 * <p>Thread-safe. At most {@value #MAX_CONNECTIONS} connections are open; further ones are closed on arrival. At most
 * {@value #MAX_QUERIES_PER_CONNECTION} queries of one connection are in progress; further ones wait until one
 * of them is answered. A connection on which nothing arrives for {@value #IDLE_TIMEOUT_MILLIS} milliseconds is closed.
 */
public final class WireServer implements Closeable {
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int MAX_QUERIES_PER_CONNECTION = 1_024;
    private static final int IDLE_TIMEOUT_MILLIS = 60_000;
    private static final long DRAIN_POLL_MILLIS = 20;

    /** A callback that answers queries. Implementations must be thread-safe. */
    public interface Handler {
        /**
         * Returns the reply to {@code query}.
         *
         * @param deadline when the client stops waiting, as a value of {@link System#nanoTime}
         */
        Message answer(Message query, long deadline);
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger queriesInProgress = new AtomicInteger();

    private WireServer(ServerSocket listener, Handler handler) {
        this.listener = listener;
        this.handler = handler;
    }

    /**
     * Returns a server that listens on {@code address}.
     *
     * @throws IOException if the address cannot be bound
     */
    public static WireServer start(InetSocketAddress address, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address);
        WireServer server = new WireServer(listener, handler);
        Thread.ofPlatform().name("wire-accept").daemon().start(server::acceptConnections);
        return server;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    /**
     * Stops accepting connections, waits until no query is in progress, then closes all connections.
     *
     * @param timeoutMillis longest time to wait, in milliseconds; queries still in progress then are abandoned
     */
    public void drain(long timeoutMillis) throws IOException, InterruptedException {
        listener.close();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (queriesInProgress.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        executor.shutdownNow();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                if (sockets.size() >= MAX_CONNECTIONS) {
                    socket.close();
                    continue;
                }
                sockets.add(socket);
                executor.execute(() -> serve(socket));
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void serve(Socket socket) {
        Semaphore permits = new Semaphore(MAX_QUERIES_PER_CONNECTION);
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_TIMEOUT_MILLIS);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            while (true) {
                Envelope envelope = Frames.read(in);
                permits.acquire();
                queriesInProgress.incrementAndGet();
                executor.execute(() -> {
                    try {
                        answer(socket, out, envelope);
                    } finally {
                        queriesInProgress.decrementAndGet();
                        permits.release();
                    }
                });
            }
        } catch (IOException e) {
            // The connection is broken or idle; the client opens another one when it needs it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Socket socket, DataOutputStream out, Envelope query) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(query.remainingMillis());
        Message reply = query.message() instanceof Message.Ping
                ? new Message.Pong()
                : handler.answer(query.message(), deadline);
        try {
            synchronized (out) {
                Frames.write(out, new Envelope(Envelope.VERSION, query.exchange(), true, 0, reply));
            }
        } catch (IOException e) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing to do: the connection is no longer used.
        }
    }
}
