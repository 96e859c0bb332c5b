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

/** Tests of the callers' HTTP interface against a scheduler made here. */
final class GatewayTest {
    private static final ActiveConfiguration ACTIVE = new ActiveConfiguration(
            5,
            new Configuration(List.of(new DataCentre("kicukiro")), List.of(), List.of(), List.of(), List.of()),
            Set.of());
    private static final String GOOD =
            "{\"account\":\"remera\",\"profile\":\"proof\",\"key\":\"k1\",\"payload\":\"x\"}";
    private static final long CALL_MILLIS = 20_000;

    private final ConcurrentLinkedQueue<Message> asked = new ConcurrentLinkedQueue<>();
    private volatile Message submitReply;
    private volatile boolean pending;
    private WireServer scheduler;
    private Gateway gateway;
    private JsonClient client;
    private String base;
    private String operators;

    @BeforeEach
    void start() throws Exception {
        submitReply = new Message.Status("kicukiro_1_1", "remera", "k1", "queued", null);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        scheduler = WireServer.start(any, (query, deadline) -> reply(query));
        int callers = freePort();
        int ops = freePort();
        gateway = new Gateway(
                new GatewaySettings(
                        new GatewaySettings.Vm("vm-1", "kicukiro"),
                        new GatewaySettings.Listen("127.0.0.1:" + callers, "127.0.0.1:" + ops),
                        List.of(new GatewaySettings.Scheduler("kicukiro", "127.0.0.1:" + scheduler.port())),
                        new GatewaySettings.Drain(0, 10_000),
                        new LogSettings("text", "warn")),
                new MetricRegistry());
        gateway.start();
        client = JsonClient.start();
        base = "http://127.0.0.1:" + callers;
        operators = "http://127.0.0.1:" + ops;
        for (int i = 0;
                i < 200 && client.get(operators + "/healthz", CALL_MILLIS).status() != 200;
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

    private Message reply(Message query) {
        asked.add(query);
        return switch (query) {
            case Message.Look look -> new Message.View("kicukiro", true, 1, true, 0, 5, ACTIVE);
            case Message.Submit submit -> submitReply;
            case Message.Find find -> found(find);
            case Message.Cancel cancel -> found(new Message.Find(cancel.request(), 0));
            case Message.Explain explain -> new Message.Explanation(List.of("place: why=free"));
            default -> new Message.Pong();
        };
    }

    private Message found(Message.Find find) {
        if (pending) {
            pause(find.waitMillis());
            return new Message.Status(find.request(), "remera", "k1", "running", null);
        }
        if (!find.request().equals("kicukiro_1_1")) {
            return new Message.Refused(Message.Refused.Kind.NOT_FOUND, "no such request", "check it");
        }
        Outcome done = new Outcome.Done(List.of(new MemberAnswer(0, "t1", "all of it")));
        return new Message.Status(find.request(), "remera", "k1", "done", done);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void requestIsAcceptedAndItsWholeAnswerReturned() throws Exception {
        JsonClient.Answer accepted = post(GOOD, "");
        assertThat(accepted.status()).isEqualTo(202);
        assertThat(text(accepted)).contains("\"request\":\"kicukiro_1_1\"");
        JsonClient.Answer done = client.get(base + "/v1/requests/kicukiro_1_1?wait=1000", CALL_MILLIS);
        assertThat(done.status()).isEqualTo(200);
        assertThat(text(done)).contains("\"output\":\"all of it\"");
        assertThat(text(post(GOOD, "?wait=1000"))).contains("all of it");
    }

    @Test
    void missingKeyIsMadeUp() throws Exception {
        post(GOOD.replace(",\"key\":\"k1\"", ""), "");
        Message.Submit submit = asked.stream()
                .filter(Message.Submit.class::isInstance)
                .map(Message.Submit.class::cast)
                .findFirst()
                .orElseThrow();
        assertThat(submit.key()).isNotEmpty();
    }

    @Test
    void badBodiesAreRefusedWithTheRemedyAndReachNoScheduler() throws Exception {
        assertProblem(post("{", ""), 400, "invalid", "syntax");
        assertProblem(post("[]", ""), 400, "invalid", "not a JSON object");
        assertProblem(post("", ""), 400, "invalid", "");
        assertProblem(post(GOOD.replace("}", ",\"colour\":1}"), ""), 400, "invalid", "unknown field 'colour'");
        assertProblem(post(GOOD.replace("\"x\"", "7"), ""), 400, "invalid", "payload");
        assertProblem(post(GOOD.replace("\"x\"", "null"), ""), 400, "invalid", "payload");
        assertProblem(post(GOOD.replace("remera", ""), ""), 400, "invalid", "account");
        assertProblem(post(GOOD.replace("k1", "k".repeat(200)), ""), 400, "invalid", "key");
        assertProblem(post(GOOD.replace("\"account\":\"remera\",", ""), ""), 400, "invalid", "account");
        assertProblem(post(GOOD + GOOD, ""), 400, "invalid", "");
        assertProblem(post(GOOD, "?wait=soon"), 400, "invalid", "wait");
        assertProblem(post(GOOD.replace("\"x\"", '"' + "x".repeat(2 << 20) + '"'), ""), 413, "too-large", "bytes");
        assertThat(asked.stream().anyMatch(Message.Submit.class::isInstance)).isFalse();
        assertThat(post(GOOD, "").status()).isEqualTo(202);
    }

    @Test
    void refusalsOfTheSchedulerKeepTheirKind() throws Exception {
        submitReply = new Message.Refused(Message.Refused.Kind.KEY_CONFLICT, "used", "use a new key");
        assertProblem(post(GOOD, ""), 409, "key-conflict", "used");
        submitReply = new Message.Refused(Message.Refused.Kind.INVALID, "unknown profile", "choose another");
        assertProblem(post(GOOD, ""), 400, "invalid", "unknown profile");
    }

    @Test
    void unknownRequestsAndPathsAreNotFound() throws Exception {
        assertProblem(client.get(base + "/v1/requests/kicukiro_9_9", CALL_MILLIS), 404, "not-found", "no");
        assertProblem(client.get(base + "/v2", CALL_MILLIS), 404, "not-found", "no such path");
        assertProblem(client.send("PUT", base + "/v1/requests", "x", CALL_MILLIS), 404, "not-found", "no such path");
    }

    @Test
    void cancelAndExplainPassThrough() throws Exception {
        assertThat(text(client.send("DELETE", base + "/v1/requests/kicukiro_1_1", "", CALL_MILLIS)))
                .contains("done");
        assertThat(text(client.get(base + "/v1/requests/kicukiro_1_1/explain", CALL_MILLIS)))
                .contains("why=free");
    }

    @Test
    void operatorsSeeHealthMetricsAndDataCentres() throws Exception {
        assertThat(client.get(operators + "/healthz", CALL_MILLIS).status()).isEqualTo(200);
        post(GOOD, "");
        assertThat(text(client.get(operators + "/metrics", CALL_MILLIS))).contains("route.requests");
        assertThat(text(client.get(operators + "/v1/data-centres", CALL_MILLIS)))
                .contains("\"in-service\":true");
        assertThat(client.get(base + "/metrics", CALL_MILLIS).status()).isEqualTo(404);
    }

    @Test
    void plannedStopReturnsWaitingCallersTheirStatus() throws Exception {
        CompletableFuture<JsonClient.Answer> waiting = new CompletableFuture<>();
        pending = true;
        Thread.ofVirtual().start(() -> {
            try {
                waiting.complete(client.get(base + "/v1/requests/kicukiro_1_1?wait=15000", CALL_MILLIS));
            } catch (Exception e) {
                waiting.completeExceptionally(e);
            }
        });
        while (asked.stream().noneMatch(Message.Find.class::isInstance)) {
            Thread.sleep(5);
        }
        gateway.drain();
        JsonClient.Answer answer = waiting.get();
        assertThat(answer.status()).isEqualTo(202);
        assertThat(text(answer)).contains("running");
    }

    private JsonClient.Answer post(String body, String query) throws Exception {
        java.net.http.HttpClient plain = java.net.http.HttpClient.newHttpClient();
        java.net.http.HttpResponse<byte[]> response = plain.send(
                java.net.http.HttpRequest.newBuilder(java.net.URI.create(base + "/v1/requests" + query))
                        .POST(java.net.http.HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                java.net.http.HttpResponse.BodyHandlers.ofByteArray());
        return new JsonClient.Answer(response.statusCode(), response.body());
    }

    private static void assertProblem(JsonClient.Answer answer, int status, String kind, String reason)
            throws Exception {
        HttpProblem.Body body = Codecs.json().readValue(answer.body(), HttpProblem.Body.class);
        assertThat(answer.status()).isEqualTo(status);
        assertThat(body.error()).isEqualTo(kind);
        assertThat(body.reason()).contains(reason);
        assertThat(body.remedy()).isNotEmpty();
    }

    private static String text(JsonClient.Answer answer) {
        return new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}
