package org.acaciaport.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.acaciaport.config.ActiveConfiguration;
import org.acaciaport.config.Configuration;
import org.acaciaport.config.DataCentre;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.JsonClient;
import org.acaciaport.program.LogSettings;
import org.acaciaport.request.MemberAnswer;
import org.acaciaport.request.Outcome;
import org.acaciaport.wire.Codecs;
import org.acaciaport.wire.Message;
import org.acaciaport.wire.WireServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests a gateway over HTTP, with a fake scheduler in the test's own process. */
final class GatewayTest {
    private static final ActiveConfiguration ACTIVE_CONFIGURATION = new ActiveConfiguration(
            5,
            new Configuration(List.of(new DataCentre("kicukiro")), List.of(), List.of(), List.of(), List.of()),
            Set.of());
    private static final String VALID_SUBMISSION =
            "{\"account\":\"remera\",\"profile\":\"proof\",\"key\":\"k1\",\"payload\":\"x\"}";
    private static final long CALL_TIMEOUT_MILLIS = 20_000;

    private final ConcurrentLinkedQueue<Message> receivedQueries = new ConcurrentLinkedQueue<>();
    private volatile Message submitReply;
    private volatile boolean requestPending;
    private WireServer scheduler;
    private Gateway gateway;
    private JsonClient client;
    private String callersUri;
    private String operatorsUri;

    @BeforeEach
    void start() throws Exception {
        submitReply = new Message.Status("kicukiro_1_1", "remera", "k1", "queued", null);
        InetSocketAddress ephemeralPort = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        scheduler = WireServer.start(ephemeralPort, (query, deadline) -> replyTo(query));
        int callersPort = freePort();
        int operatorsPort = freePort();
        gateway = new Gateway(
                new GatewaySettings(
                        new GatewaySettings.Vm("vm-1", "kicukiro"),
                        new GatewaySettings.Listen("127.0.0.1:" + callersPort, "127.0.0.1:" + operatorsPort),
                        List.of(new GatewaySettings.Scheduler("kicukiro", "127.0.0.1:" + scheduler.port())),
                        new GatewaySettings.Drain(0, 10_000),
                        new LogSettings("text", "warn")),
                new MetricRegistry());
        gateway.start();
        client = JsonClient.start();
        callersUri = "http://127.0.0.1:" + callersPort;
        operatorsUri = "http://127.0.0.1:" + operatorsPort;
        for (int i = 0;
                i < 200
                        && client.get(operatorsUri + "/healthz", CALL_TIMEOUT_MILLIS)
                                        .status()
                                != 200;
                i++) {
            Thread.sleep(10);
        }
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        gateway.drain();
        scheduler.close();
    }

    private Message replyTo(Message query) {
        receivedQueries.add(query);
        return switch (query) {
            case Message.Look look -> new Message.View("kicukiro", true, 1, true, 0, 5, ACTIVE_CONFIGURATION);
            case Message.Submit submit -> submitReply;
            case Message.Find find -> replyToFind(find);
            case Message.Cancel cancel -> replyToFind(new Message.Find(cancel.request(), 0));
            case Message.Explain explain -> new Message.Explanation(List.of("place: why=free"));
            default -> new Message.Pong();
        };
    }

    private Message replyToFind(Message.Find find) {
        if (requestPending) {
            sleep(find.waitMillis());
            return new Message.Status(find.request(), "remera", "k1", "running", null);
        }
        if (!find.request().equals("kicukiro_1_1")) {
            return new Message.Refused(Message.Refused.Kind.NOT_FOUND, "no such request", "check it");
        }
        Outcome done = new Outcome.Done(List.of(new MemberAnswer(0, "t1", "all of it")));
        return new Message.Status(find.request(), "remera", "k1", "done", done);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void requestIsAcceptedAndItsCompleteAnswerReturned() throws Exception {
        JsonClient.Response accepted = post(VALID_SUBMISSION, "");
        assertThat(accepted.status()).isEqualTo(202);
        assertThat(bodyText(accepted)).contains("\"request\":\"kicukiro_1_1\"");
        JsonClient.Response done = client.get(callersUri + "/v1/requests/kicukiro_1_1?wait=1000", CALL_TIMEOUT_MILLIS);
        assertThat(done.status()).isEqualTo(200);
        assertThat(bodyText(done)).contains("\"output\":\"all of it\"");
        assertThat(bodyText(post(VALID_SUBMISSION, "?wait=1000"))).contains("all of it");
    }

    @Test
    void missingKeyIsGenerated() throws Exception {
        post(VALID_SUBMISSION.replace(",\"key\":\"k1\"", ""), "");
        Message.Submit submit = receivedQueries.stream()
                .filter(Message.Submit.class::isInstance)
                .map(Message.Submit.class::cast)
                .findFirst()
                .orElseThrow();
        assertThat(submit.key()).isNotEmpty();
    }

    @Test
    void invalidSubmissionsAreRejectedWithoutReachingAScheduler() throws Exception {
        assertProblem(post("{", ""), 400, "invalid", "syntax");
        assertProblem(post("[]", ""), 400, "invalid", "not a JSON object");
        assertProblem(post("", ""), 400, "invalid", "");
        assertProblem(
                post(VALID_SUBMISSION.replace("}", ",\"colour\":1}"), ""), 400, "invalid", "unknown field 'colour'");
        assertProblem(post(VALID_SUBMISSION.replace("\"x\"", "7"), ""), 400, "invalid", "payload");
        assertProblem(post(VALID_SUBMISSION.replace("\"x\"", "null"), ""), 400, "invalid", "payload");
        assertProblem(post(VALID_SUBMISSION.replace("remera", ""), ""), 400, "invalid", "account");
        assertProblem(post(VALID_SUBMISSION.replace("k1", "k".repeat(200)), ""), 400, "invalid", "key");
        assertProblem(post(VALID_SUBMISSION.replace("\"account\":\"remera\",", ""), ""), 400, "invalid", "account");
        assertProblem(post(VALID_SUBMISSION + VALID_SUBMISSION, ""), 400, "invalid", "");
        assertProblem(post(VALID_SUBMISSION, "?wait=soon"), 400, "invalid", "wait");
        assertProblem(
                post(VALID_SUBMISSION.replace("\"x\"", '"' + "x".repeat(2 << 20) + '"'), ""),
                413,
                "too-large",
                "bytes");
        assertThat(receivedQueries.stream().anyMatch(Message.Submit.class::isInstance))
                .isFalse();
        assertThat(post(VALID_SUBMISSION, "").status()).isEqualTo(202);
    }

    @Test
    void schedulerRefusalsMapToTheirHttpErrors() throws Exception {
        submitReply = new Message.Refused(Message.Refused.Kind.KEY_CONFLICT, "used", "use a new key");
        assertProblem(post(VALID_SUBMISSION, ""), 409, "key-conflict", "used");
        submitReply = new Message.Refused(Message.Refused.Kind.INVALID, "unknown profile", "choose another");
        assertProblem(post(VALID_SUBMISSION, ""), 400, "invalid", "unknown profile");
    }

    @Test
    void unknownRequestsAndPathsAreNotFound() throws Exception {
        assertProblem(
                client.get(callersUri + "/v1/requests/kicukiro_9_9", CALL_TIMEOUT_MILLIS), 404, "not-found", "no");
        assertProblem(client.get(callersUri + "/v2", CALL_TIMEOUT_MILLIS), 404, "not-found", "no such path");
        assertProblem(
                client.send("PUT", callersUri + "/v1/requests", "x", CALL_TIMEOUT_MILLIS),
                404,
                "not-found",
                "no such path");
    }

    @Test
    void cancelAndExplainAreForwarded() throws Exception {
        assertThat(bodyText(client.send("DELETE", callersUri + "/v1/requests/kicukiro_1_1", "", CALL_TIMEOUT_MILLIS)))
                .contains("done");
        assertThat(bodyText(client.get(callersUri + "/v1/requests/kicukiro_1_1/explain", CALL_TIMEOUT_MILLIS)))
                .contains("why=free");
    }

    @Test
    void operatorsSeeHealthMetricsAndDataCentres() throws Exception {
        assertThat(client.get(operatorsUri + "/healthz", CALL_TIMEOUT_MILLIS).status())
                .isEqualTo(200);
        post(VALID_SUBMISSION, "");
        assertThat(bodyText(client.get(operatorsUri + "/metrics", CALL_TIMEOUT_MILLIS)))
                .contains("route.requests");
        assertThat(bodyText(client.get(operatorsUri + "/v1/data-centres", CALL_TIMEOUT_MILLIS)))
                .contains("\"in-service\":true");
        assertThat(client.get(callersUri + "/metrics", CALL_TIMEOUT_MILLIS).status())
                .isEqualTo(404);
    }

    @Test
    void drainReturnsTheCurrentStatusToWaitingCallers() throws Exception {
        CompletableFuture<JsonClient.Response> waitingCall = new CompletableFuture<>();
        requestPending = true;
        Thread.ofVirtual().start(() -> {
            try {
                waitingCall.complete(
                        client.get(callersUri + "/v1/requests/kicukiro_1_1?wait=15000", CALL_TIMEOUT_MILLIS));
            } catch (Exception e) {
                waitingCall.completeExceptionally(e);
            }
        });
        while (receivedQueries.stream().noneMatch(Message.Find.class::isInstance)) {
            Thread.sleep(5);
        }
        gateway.drain();
        JsonClient.Response response = waitingCall.get();
        assertThat(response.status()).isEqualTo(202);
        assertThat(bodyText(response)).contains("running");
    }

    private JsonClient.Response post(String body, String query) throws Exception {
        java.net.http.HttpClient httpClient = java.net.http.HttpClient.newHttpClient();
        java.net.http.HttpResponse<byte[]> response = httpClient.send(
                java.net.http.HttpRequest.newBuilder(java.net.URI.create(callersUri + "/v1/requests" + query))
                        .POST(java.net.http.HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                java.net.http.HttpResponse.BodyHandlers.ofByteArray());
        return new JsonClient.Response(response.statusCode(), response.body());
    }

    private static void assertProblem(JsonClient.Response response, int status, String error, String reason)
            throws Exception {
        HttpProblem.Body body = Codecs.json().readValue(response.body(), HttpProblem.Body.class);
        assertThat(response.status()).isEqualTo(status);
        assertThat(body.error()).isEqualTo(error);
        assertThat(body.reason()).contains(reason);
        assertThat(body.remedy()).isNotEmpty();
    }

    private static String bodyText(JsonClient.Response response) {
        return new String(response.body(), java.nio.charset.StandardCharsets.UTF_8);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
