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
 * Accepts connections from other programs and answers their queries.
 *
 * <p>Safe for use by several threads. At most {@value #MAX_CONNECTIONS} connections are open and at most
 * {@value #MAX_QUERIES} queries of one connection are in work; a connection without a word for {@value #IDLE_MILLIS}
 * milliseconds is closed.
 */
public final class WireServer implements Closeable {
    private static final int MAX_CONNECTIONS = 1_024;
    private static final int MAX_QUERIES = 1_024;
    private static final int IDLE_MILLIS = 60_000;
    private static final long DRAIN_STEP_MILLIS = 20;

    /** Answers queries. Called by several threads at once. */
    public interface Handler {
        /**
         * Answers {@code query}.
         *
         * @param deadline when the asker stops waiting, as a reading of {@link System#nanoTime}
         */
        Message answer(Message query, long deadline);
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger working = new AtomicInteger();

    private WireServer(ServerSocket listener, Handler handler) {
        this.listener = listener;
        this.handler = handler;
    }

    /**
     * Starts listening on {@code address}.
     *
     * @throws IOException if the address cannot be bound
     */
    public static WireServer start(InetSocketAddress address, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address);
        WireServer server = new WireServer(listener, handler);
        Thread.ofPlatform().name("wire-accept").daemon().start(server::accept);
        return server;
    }

    /** Returns the port it listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Stops accepting, waits up to {@code millis} milliseconds for queries in work, then closes all connections. */
    public void drain(long millis) throws IOException, InterruptedException {
        listener.close();
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (working.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(DRAIN_STEP_MILLIS);
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

    private void accept() {
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
        Semaphore queries = new Semaphore(MAX_QUERIES);
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(IDLE_MILLIS);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            while (true) {
                Envelope envelope = Frames.read(in);
                queries.acquire();
                working.incrementAndGet();
                executor.execute(() -> {
                    try {
                        reply(socket, out, envelope);
                    } finally {
                        working.decrementAndGet();
                        queries.release();
                    }
                });
            }
        } catch (IOException e) {
            // The peer opens another connection when it needs one.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private void reply(Socket socket, DataOutputStream out, Envelope query) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(query.remainingMillis());
        Message answer = query.message() instanceof Message.Ping
                ? new Message.Pong()
                : handler.answer(query.message(), deadline);
        try {
            synchronized (out) {
                Frames.write(out, new Envelope(Envelope.VERSION, query.exchange(), true, 0, answer));
            }
        } catch (IOException e) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is given up either way.
        }
    }
}
