import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy on one loopback address. While it is cut, no byte passes in either direction; what was held up is dropped
 * with its connection when the cut ends.
 */
final class Proxy {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    private static final class Link {
        final Socket client;
        final Socket server;
        volatile boolean held;

        Link(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        void close() {
            try {
                client.close();
                server.close();
            } catch (Exception e) {
                // It is closed already.
            }
        }
    }

    Proxy(String host, int port, String targetHost, int targetPort) throws Exception {
        listener = new ServerSocket(port, 256, InetAddress.getByName(host));
        target = new InetSocketAddress(targetHost, targetPort);
        Thread.ofVirtual().start(this::accept);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                Socket server = new Socket();
                server.connect(target, 1_000);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Link link = new Link(client, server);
                links.add(link);
                Thread.ofVirtual().start(() -> pump(link, client, server));
                Thread.ofVirtual().start(() -> pump(link, server, client));
            } catch (Exception e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void pump(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (cut) {
                    link.held = true;
                }
                if (!link.held) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
                count = in.read(buffer);
            }
        } catch (Exception e) {
            // One side has closed the connection.
        }
        link.close();
        links.remove(link);
    }

    /** Lets no byte pass. */
    void cut() {
        cut = true;
    }

    /** Ends the cut, and closes the connections on which bytes were held up. */
    void heal() {
        cut = false;
        links.stream().filter(link -> link.held).forEach(Link::close);
    }

    void close() throws Exception {
        listener.close();
        links.forEach(Link::close);
    }
}
