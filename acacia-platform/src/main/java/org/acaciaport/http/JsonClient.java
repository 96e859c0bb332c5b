package org.acaciaport.http;

import java.io.IOException;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.wire.Codecs;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * A blocking HTTP client for JSON services, with a timeout on every call.
 *
 * <p>Thread-safe. Opens at most {@value #MAX_CONNECTIONS} connections to each address. A connection on which a call
 * timed out is closed, so that the next call uses another one.
 */
public final class JsonClient implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final byte[] NO_BODY = {};
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_QUEUED_REQUESTS = 1_024;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int MAX_THREADS = 8;
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long IDLE_TIMEOUT_MILLIS = 60_000;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final HttpClient client = new HttpClient();

    private JsonClient() {
        client.setExecutor(new QueuedThreadPool(MAX_THREADS, 2));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setFollowRedirects(false);
        client.setSslContextFactory(new DisabledTls());
    }

    /**
     * Skips the set-up of TLS. All addresses are plain HTTP, and loading the system's certificates takes a tenth of the
     * start-up time.
     */
    private static final class DisabledTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Does not load certificates.
        }
    }

    /**
     * Returns a new, started client.
     *
     * @throws HttpStartException if it cannot start
     */
    public static JsonClient start() throws HttpStartException {
        JsonClient client = new JsonClient();
        try {
            client.client.start();
        } catch (Exception e) {
            throw new HttpStartException("cannot start the HTTP client (" + e.getMessage() + ")", e);
        }
        return client;
    }

    /**
     * A response with any status.
     *
     * @param status the HTTP status
     * @param body the complete body
     */
    public record Response(int status, byte[] body) {
        /**
         * Parses the body as JSON.
         *
         * @throws PlatformException if the body cannot be converted to {@code type}
         */
        public <T> T read(Class<T> type) throws PlatformException {
            try {
                return Codecs.json().readValue(body, type);
            } catch (IOException e) {
                throw new PlatformException(
                        PlatformException.Kind.UNCERTAIN,
                        "answer not understood (" + JsonErrors.describe(e) + "); check the peer's version",
                        e);
            }
        }
    }

    /**
     * Sends a GET request and returns the response, whatever its status.
     *
     * @throws PlatformException if there was no response within {@code millis} milliseconds
     */
    public Response get(String uri, long millis) throws PlatformException {
        return exchange(new RawCall("GET", uri, Map.of(), JSON, NO_BODY), millis);
    }

    /**
     * Sends {@code body} as JSON with {@code method} and returns the response, whatever its status.
     *
     * @throws PlatformException if there was no response within {@code millis} milliseconds
     */
    public Response send(String method, String uri, Object body, long millis) throws PlatformException {
        try {
            byte[] bytes = Codecs.json().writeValueAsBytes(body);
            return exchange(new RawCall(method, uri, Map.of(), JSON, bytes), millis);
        } catch (IOException e) {
            throw new PlatformException(
                    PlatformException.Kind.NOT_DONE, "cannot encode the request (" + e.getMessage() + ")", e);
        }
    }

    /**
     * A request whose body is already encoded.
     *
     * @param method the HTTP method
     * @param uri the complete URI
     * @param headers additional headers
     * @param type media type of the body
     * @param body the body; empty for none
     */
    public record RawCall(String method, String uri, Map<String, String> headers, String type, byte[] body) {}

    /**
     * Sends {@code call} and returns the response, whatever its status.
     *
     * @throws PlatformException if there was no response within {@code millis} milliseconds; with kind NOT_DONE if the
     *     URI is unusable
     */
    public Response exchange(RawCall call, long millis) throws PlatformException {
        try {
            Request request = client.newRequest(call.uri()).method(call.method());
            request.headers(fields -> call.headers().forEach(fields::put));
            if (call.body().length > 0) {
                request.body(new BytesRequestContent(call.type(), call.body()));
            }
            return send(request, millis);
        } catch (IllegalArgumentException e) {
            // Jetty rejects some unusable addresses when the request is made, and others when it is sent.
            throw new PlatformException(
                    PlatformException.Kind.NOT_DONE,
                    "cannot call " + call.uri() + " (" + e.getMessage() + "); check the address",
                    e);
        }
    }

    /**
     * Posts {@code body} as JSON and parses the response.
     *
     * @throws PlatformException if there was no response within {@code millis} milliseconds, or it was an error
     */
    public <T> T post(String uri, Object body, Class<T> type, long millis) throws PlatformException {
        return requireSuccess(uri, send("POST", uri, body, millis)).read(type);
    }

    /**
     * Returns {@code response} if its status is a success.
     *
     * @throws PlatformException if it is not. The kind follows from the status: 410 is STALE_EPOCH, 412 is EXPIRED, 500
     *     and above are UNCERTAIN, and all others are NOT_DONE.
     */
    public static Response requireSuccess(String uri, Response response) throws PlatformException {
        if (response.status() < MULTIPLE_CHOICES) {
            return response;
        }
        String text = "answer " + response.status() + " from " + uri + ": " + new String(response.body());
        throw new PlatformException(kindOf(response.status()), text, null);
    }

    private static PlatformException.Kind kindOf(int status) {
        if (status == GONE) {
            return PlatformException.Kind.STALE_EPOCH;
        }
        if (status == PRECONDITION_FAILED) {
            return PlatformException.Kind.EXPIRED;
        }
        boolean mayHaveTakenEffect = status != CONFLICT && status >= INTERNAL_SERVER_ERROR;
        return mayHaveTakenEffect ? PlatformException.Kind.UNCERTAIN : PlatformException.Kind.NOT_DONE;
    }

    private Response send(Request request, long millis) throws PlatformException {
        request.timeout(millis, TimeUnit.MILLISECONDS);
        try {
            ContentResponse response = new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                    .send()
                    .get();
            return new Response(response.getStatus(), response.getContent());
        } catch (ExecutionException e) {
            boolean connectionRefused = e.getCause() instanceof ConnectException;
            PlatformException.Kind kind =
                    connectionRefused ? PlatformException.Kind.NOT_DONE : PlatformException.Kind.UNCERTAIN;
            throw new PlatformException(
                    kind, "no answer from " + request.getURI() + " (" + e.getCause() + "); try again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PlatformException(PlatformException.Kind.UNCERTAIN, "interrupted; try again", e);
        }
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            // Ignored: the process is about to exit.
        }
    }
}
