import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback addresses, for the stand-ins of the review. */
final class Http {
    private Http() {}

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    record Reply(int status, byte[] body, String type) {
        static Reply json(int status, String body) {
            return new Reply(status, body.getBytes(StandardCharsets.UTF_8), "application/json");
        }
    }

    /** Answers a request; null leaves it unanswered and its connection silent; RESET closes the connection. */
    interface Handler {
        Reply answer(Request request) throws Exception;
    }

    static final Reply RESET = new Reply(-1, new byte[0], "");

    /** A server; each connection has a virtual thread. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
            Thread.ofPlatform().daemon().start(this::accept);
        }

        int port() {
            return listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    sockets.add(socket);
                    Thread.ofVirtual().start(() -> serve(socket));
                } catch (IOException e) {
                    // Closed, or a connection that ended at once.
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    Reply reply = handler.answer(request);
                    if (reply == RESET) {
                        socket.setSoLinger(true, 0);
                        return;
                    }
                    if (reply == null) {
                        while (in.read() >= 0) {
                            // A connection on which an answer was lost returns nothing further.
                        }
                        return;
                    }
                    write(out, "HTTP/1.1 " + reply.status() + " X\r\nContent-Type: " + reply.type(), reply.body());
                }
            } catch (Exception e) {
                // The peer has gone.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Closes the listener and all connections with a reset. */
        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException e) {
                    // Closed already.
                }
            }
        }
    }

    private static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write((head + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c;
        while ((c = in.read()) != '\n') {
            if (c < 0) {
                return line.isEmpty() ? null : line.toString();
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line;
        while ((line = readLine(in)) != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(readLine(in).trim(), 16)) > 0) {
                all.write(in.readNBytes(size));
                readLine(in);
            }
            readLine(in);
            return all.toByteArray();
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("cut body");
        }
        return body;
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        byte[] body = readBody(in, headers);
        String target = words[1];
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : target.substring(mark + 1).split("&")) {
                int eq = pair.indexOf('=');
                query.put(
                        pair.substring(0, eq),
                        java.net.URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            }
            target = target.substring(0, mark);
        }
        return new Request(words[0], target, query, headers, body);
    }

    /** The answer to a call; status 0 means that there was none. */
    record Answer(int status, String body, String problem) {}

    /** Makes one call on a connection of its own. */
    static Answer call(
            String ip, int port, String method, String path, Map<String, String> headers, byte[] body, int millis) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), Math.min(millis, 1_000));
            socket.setSoTimeout(millis);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nConnection: close");
            if (!headers.containsKey("Host")) {
                head.append("\r\nHost: ").append(ip);
            }
            headers.forEach((name, value) -> head.append("\r\n").append(name).append(": ").append(value));
            write(socket.getOutputStream(), head.toString(), body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            if (status == null) {
                return new Answer(0, "", "closed without an answer");
            }
            Map<String, String> answerHeaders = readHeaders(in);
            byte[] answer = readBody(in, answerHeaders);
            return new Answer(Integer.parseInt(status.split(" ")[1]), new String(answer, StandardCharsets.UTF_8), "");
        } catch (IOException e) {
            return new Answer(0, "", e.toString());
        }
    }
}
