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
 * Sends JSON over HTTP and waits for the answer, with a deadline on every call.
 *
 * <p>Safe for use by several threads. Opens at most {@value #MAX_CONNECTIONS} connections to one address; a connection
 * on which a call timed out is closed, so the next call uses another one.
 */
public final class JsonClient implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final byte[] NO_BODY = {};
    private static final int MAX_CONNECTIONS = 64;
    private static final int MAX_WAITING = 1_024;
    private static final int MAX_ANSWER_BYTES = 16 << 20;
    private static final int MAX_THREADS = 8;
    private static final long CONNECT_MILLIS = 1_000;
    private static final long IDLE_MILLIS = 60_000;
    private static final int OK_LIMIT = 300;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int SERVER_ERROR = 500;

    private final HttpClient client = new HttpClient();

    private JsonClient() {
        client.setExecutor(new QueuedThreadPool(MAX_THREADS, 2));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_WAITING);
        client.setConnectTimeout(CONNECT_MILLIS);
        client.setIdleTimeout(IDLE_MILLIS);
        client.setFollowRedirects(false);
        client.setSslContextFactory(new WithoutTls());
    }

    /** Never set up: all addresses are plain HTTP, and reading the system's certificates takes a tenth of a start. */
    private static final class WithoutTls extends SslContextFactory.Client {
        @Override
        protected void doStart() {
            // Nothing to set up.
        }
    }

    /**
     * Returns a started client.
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
     * An answer of any status.
     *
     * @param status the HTTP status
     * @param body the whole body
     */
    public record Answer(int status, byte[] body) {
        /**
         * Reads the body as JSON.
         *
         * @throws PlatformException if it has another shape
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
     * Sends a GET and returns the answer, whatever its status.
     *
     * @throws PlatformException if no answer came within {@code millis} milliseconds
     */
    public Answer get(String uri, long millis) throws PlatformException {
        return exchange(new RawCall("GET", uri, Map.of(), JSON, NO_BODY), millis);
    }

    /**
     * Sends {@code body} with {@code method} and returns the answer, whatever its status.
     *
     * @throws PlatformException if no answer came within {@code millis} milliseconds
     */
    public Answer send(String method, String uri, Object body, long millis) throws PlatformException {
        try {
            byte[] bytes = Codecs.json().writeValueAsBytes(body);
            return exchange(new RawCall(method, uri, Map.of(), JSON, bytes), millis);
        } catch (IOException e) {
            throw new PlatformException(
                    PlatformException.Kind.NOT_DONE, "cannot encode the request (" + e.getMessage() + ")", e);
        }
    }

    /**
     * A call whose body is not made of records.
     *
     * @param method the HTTP method
     * @param uri the whole URI
     * @param headers further headers
     * @param type media type of the body
     * @param body the body; empty for none
     */
    public record RawCall(String method, String uri, Map<String, String> headers, String type, byte[] body) {}

    /**
     * Sends {@code call} and returns the answer, whatever its status.
     *
     * @throws PlatformException if no answer came within {@code millis} milliseconds
     */
    public Answer exchange(RawCall call, long millis) throws PlatformException {
        Request request = client.newRequest(call.uri()).method(call.method());
        request.headers(fields -> call.headers().forEach(fields::put));
        if (call.body().length > 0) {
            request.body(new BytesRequestContent(call.type(), call.body()));
        }
        return send(request, millis);
    }

    /**
     * Posts {@code body} and reads the answer.
     *
     * @throws PlatformException if no answer came in time or it was an error
     */
    public <T> T post(String uri, Object body, Class<T> type, long millis) throws PlatformException {
        return requireSuccess(uri, send("POST", uri, body, millis)).read(type);
    }

    /**
     * Returns {@code answer} if it was a success.
     *
     * @throws PlatformException if it was an error; 409, 410 and 412 mean that nothing was done
     */
    public static Answer requireSuccess(String uri, Answer answer) throws PlatformException {
        if (answer.status() < OK_LIMIT) {
            return answer;
        }
        String text = "answer " + answer.status() + " from " + uri + ": " + new String(answer.body());
        throw new PlatformException(kindOf(answer.status()), text, null);
    }

    private static PlatformException.Kind kindOf(int status) {
        if (status == GONE) {
            return PlatformException.Kind.STALE_EPOCH;
        }
        if (status == PRECONDITION_FAILED) {
            return PlatformException.Kind.EXPIRED;
        }
        boolean done = status != CONFLICT && status >= SERVER_ERROR;
        return done ? PlatformException.Kind.UNCERTAIN : PlatformException.Kind.NOT_DONE;
    }

    private Answer send(Request request, long millis) throws PlatformException {
        request.timeout(millis, TimeUnit.MILLISECONDS);
        try {
            ContentResponse response = new CompletableResponseListener(request, MAX_ANSWER_BYTES)
                    .send()
                    .get();
            return new Answer(response.getStatus(), response.getContent());
        } catch (ExecutionException e) {
            boolean refused = e.getCause() instanceof ConnectException;
            PlatformException.Kind kind = refused ? PlatformException.Kind.NOT_DONE : PlatformException.Kind.UNCERTAIN;
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
            // The process is ending.
        }
    }
}
