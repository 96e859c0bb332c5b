package org.acaciaport.http;

import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Static factory methods for Jetty servers and their connectors. */
public final class JettyServers {
    private JettyServers() {}

    /** Returns a new server without connectors that handles each request on a virtual thread. */
    public static Server newServer(int maxThreads, int minThreads) {
        QueuedThreadPool threads = new QueuedThreadPool(maxThreads, minThreads);
        threads.setVirtualThreadsExecutor(Executors.newVirtualThreadPerTaskExecutor());
        return new Server(threads);
    }

    /**
     * Adds a connector that listens on {@code address} to {@code server}.
     *
     * @param idleMillis time after which an idle connection is closed, in milliseconds
     */
    public static ServerConnector addConnector(Server server, InetSocketAddress address, long idleMillis) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(configuration));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setIdleTimeout(idleMillis);
        server.addConnector(connector);
        return connector;
    }
}
