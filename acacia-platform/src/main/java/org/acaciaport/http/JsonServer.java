package org.acaciaport.http;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.acaciaport.wire.Codecs;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.jboss.logging.Logger;

/**
 * An HTTP server whose responses are JSON.
 *
 * <p>Thread-safe. Rejects bodies of more than {@value #MAX_BODY_BYTES} bytes. Handles at most {@value #MAX_IN_FLIGHT}
 * requests at a time and rejects further ones immediately.
 */
public final class JsonServer {
    /** Maximum length of a request body, in bytes. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    private static final Logger LOG = Logger.getLogger(JsonServer.class);
    private static final int MAX_IN_FLIGHT = 4_096;
    private static final int MAX_THREADS = 16;
    private static final int MIN_THREADS = 4;
    private static final long IDLE_TIMEOUT_MILLIS = 75_000;
    private static final long DRAIN_POLL_MILLIS = 20;

    private final Server server;
    private final ServerConnector connector;
    private final AtomicInteger inFlight = new AtomicInteger();

    private JsonServer(InetSocketAddress address, HttpService service) {
        server = JettyServers.newServer(MAX_THREADS, MIN_THREADS);
        connector = JettyServers.addConnector(server, address, IDLE_TIMEOUT_MILLIS);
        server.setHandler(new JsonHandler(service));
    }

    /**
     * Returns a started server that listens on {@code address}.
     *
     * @throws HttpStartException if it cannot listen on the address
     */
    public static JsonServer start(InetSocketAddress address, HttpService service) throws HttpStartException {
        JsonServer server = new JsonServer(address, service);
        try {
            server.server.start();
        } catch (Exception e) {
            throw new HttpStartException(
                    "cannot listen on " + address + " (" + e.getMessage() + "); choose a free address", e);
        }
        return server;
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Waits up to {@code millis} milliseconds until all responses have been written, then stops. Accepts new requests
     * while it waits.
     */
    public void drain(long millis) throws InterruptedException {
        long deadline = System.nanoTime() + millis * 1_000_000;
        while (inFlight.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
        stop();
    }

    /** Stops immediately, without waiting for requests in flight. */
    public void stop() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warnf("http: server did not stop cleanly, error=%s", e);
        }
    }

    private final class JsonHandler extends Handler.Abstract {
        private final HttpService service;

        JsonHandler(HttpService service) {
            this.service = service;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            boolean overloaded = inFlight.incrementAndGet() > MAX_IN_FLIGHT;
            // A request is in flight until its response has been written.
            Callback counted = new Callback.Nested(callback) {
                @Override
                public void completed() {
                    inFlight.decrementAndGet();
                }
            };
            try {
                send(response, overloaded ? reply(busy()) : handleCall(request), counted);
            } catch (Throwable e) {
                counted.failed(e);
            }
            return true;
        }

        private HttpReply handleCall(Request request) {
            try {
                return service.handle(toCall(request));
            } catch (HttpProblem e) {
                return reply(e);
            } catch (Exception e) {
                LOG.errorf(e, "http: request failed, path=%s", Request.getPathInContext(request));
                return reply(new HttpProblem(
                        500, "internal", "the program failed on this request", "report it with the log line"));
            }
        }

        private HttpCall toCall(Request request) throws Exception {
            List<String> path = new ArrayList<>();
            for (String segment : Request.getPathInContext(request).split("/")) {
                if (!segment.isEmpty()) {
                    path.add(segment);
                }
            }
            Map<String, String> query = new LinkedHashMap<>();
            for (Fields.Field field : Request.extractQueryParameters(request)) {
                query.put(field.getName(), field.getValue());
            }
            return new HttpCall(request.getMethod(), path, query, readBody(request));
        }

        private byte[] readBody(Request request) throws Exception {
            try (InputStream in = Content.Source.asInputStream(request)) {
                byte[] body = in.readNBytes(MAX_BODY_BYTES + 1);
                if (body.length > MAX_BODY_BYTES) {
                    throw new HttpProblem(
                            413, "too-large", "the body is over " + MAX_BODY_BYTES + " bytes", "send a smaller body");
                }
                return body;
            }
        }

        private void send(Response response, HttpReply reply, Callback callback) {
            try {
                byte[] body = Codecs.json().writeValueAsBytes(reply.body());
                response.setStatus(reply.status());
                response.getHeaders().put(new HttpField(HttpHeader.CONTENT_TYPE, "application/json"));
                response.write(true, ByteBuffer.wrap(body), callback);
            } catch (Exception e) {
                callback.failed(e);
            }
        }
    }

    private static HttpReply reply(HttpProblem problem) {
        return new HttpReply(problem.status(), problem.body());
    }

    private static HttpProblem busy() {
        return new HttpProblem(503, "busy", "too many requests are in work", "send it again later");
    }
}
