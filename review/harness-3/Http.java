import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Executors;

/** Plain HTTP/1.1 on loopback addresses: a server, and a client with one connection for each call. */
final class Http {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private Http() {}

    /** A response; status 0 means that there was none in time. */
    record Reply(int status, String body) {}

    interface Handler {
        void handle(HttpExchange exchange) throws Exception;
    }

    static HttpServer serve(String host, int port, Handler handler) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (Exception e) {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws Exception {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    static void answerJson(HttpExchange exchange, int status, Object body) throws Exception {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        answer(exchange, status, Json.write(body).getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the value of a parameter of the query, or null. */
    static String parameter(HttpExchange exchange, String name) {
        String query = exchange.getRequestURI().getRawQuery();
        for (String part : (query == null ? "" : query).split("&")) {
            if (part.startsWith(name + "=")) {
                return java.net.URLDecoder.decode(part.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return null;
    }

    /** Makes one call on a connection of its own. */
    static Reply call(String address, String method, String path, String hostHeader, String headers, String body,
            int timeoutMillis) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    CONNECT_TIMEOUT_MILLIS);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + hostHeader + "\r\n" + headers
                    + "Connection: close\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (Exception e) {
            return new Reply(0, e.toString());
        }
    }

    private static Reply read(InputStream in) throws Exception {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        in.transferTo(all);
        String text = all.toString(StandardCharsets.UTF_8);
        if (!text.startsWith("HTTP/1.1 ")) {
            return new Reply(0, "no response");
        }
        int end = text.indexOf("\r\n\r\n");
        return new Reply(Integer.parseInt(text.substring(9, 12)), end < 0 ? "" : text.substring(end + 4));
    }
}
