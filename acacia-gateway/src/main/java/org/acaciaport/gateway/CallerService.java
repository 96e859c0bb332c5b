package org.acaciaport.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.acaciaport.http.HttpCall;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.HttpReply;
import org.acaciaport.http.HttpService;
import org.acaciaport.http.JsonErrors;
import org.acaciaport.wire.Codecs;
import org.acaciaport.wire.Message;

/**
 * The HTTP interface for callers: submit, look up, wait for, cancel and explain requests.
 *
 * <p>Keeps no state of any request; the schedulers hold it. Deadlines are readings of {@link System#nanoTime}.
 *
 * <p>Thread-safe.
 */
final class CallerService implements HttpService {
    /** Time allowed for routing and retries, besides the wait that the caller asks for. */
    private static final long ROUTING_TIMEOUT_MILLIS = 10_000;

    private static final long MAX_WAIT_MILLIS = 60_000;

    /** Longest wait at a scheduler in one query; a drain ends a caller's wait within this time. */
    private static final long MAX_WAIT_PER_QUERY_MILLIS = 2_000;

    private static final int MAX_FIELD_CHARACTERS = 128;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final Router router;
    private volatile boolean draining;

    CallerService(Router router) {
        this.router = router;
    }

    /**
     * The body of a submission.
     *
     * @param account name of the client account
     * @param profile name of the profile
     * @param key idempotency key; generated if the body has none
     * @param payload opaque input
     */
    record Submission(String account, String profile, String key, String payload) {}

    /** Makes present and later waits return the current status early instead of waiting for the final answer. */
    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    @Override
    public HttpReply handle(HttpCall call) throws HttpProblem {
        if (call.matches("POST", 2, "v1", "requests")) {
            return submit(call);
        }
        if (call.matches("GET", 3, "v1", "requests")) {
            return awaitStatus(call.path().get(2), call.longParameter("wait", 0, MAX_WAIT_MILLIS));
        }
        if (call.matches("DELETE", 3, "v1", "requests")) {
            return toHttpReply(router.forward(
                    call.path().get(2), new Message.Cancel(call.path().get(2)), deadlineAfterWait(0)));
        }
        if (call.matches("GET", 4, "v1", "requests") && call.path().get(3).equals("explain")) {
            return toHttpReply(router.forward(
                    call.path().get(2), new Message.Explain(call.path().get(2)), deadlineAfterWait(0)));
        }
        throw HttpProblem.notFound(
                "no such path or method",
                "use POST /v1/requests, GET or DELETE /v1/requests/ID, or GET /v1/requests/ID/explain");
    }

    private HttpReply submit(HttpCall call) throws HttpProblem {
        Submission submission = readSubmission(call);
        long waitMillis = call.longParameter("wait", 0, MAX_WAIT_MILLIS);
        Message.Submit submit =
                new Message.Submit(submission.account(), submission.profile(), submission.key(), submission.payload());
        Message reply = router.submit(submit, deadlineAfterWait(0));
        boolean pending = reply instanceof Message.Status status && status.outcome() == null;
        return waitMillis > 0 && pending
                ? awaitStatus(((Message.Status) reply).request(), waitMillis)
                : toHttpReply(reply);
    }

    private static Submission readSubmission(HttpCall call) throws HttpProblem {
        JsonNode tree = call.read(JsonNode.class);
        if (!(tree instanceof ObjectNode body)) {
            throw HttpProblem.invalid("the body is not a JSON object", "send account, profile, key and payload");
        }
        if (!body.has("key")) {
            body.put("key", UUID.randomUUID().toString());
        }
        Submission submission;
        try {
            submission = Codecs.json().treeToValue(body, Submission.class);
        } catch (JsonProcessingException e) {
            throw HttpProblem.invalid(JsonErrors.describe(e), "correct the body and send it again");
        }
        checkLength("account", submission.account(), MAX_FIELD_CHARACTERS);
        checkLength("profile", submission.profile(), MAX_FIELD_CHARACTERS);
        checkLength("key", submission.key(), MAX_FIELD_CHARACTERS);
        if (submission.payload() == null) {
            throw HttpProblem.invalid("field 'payload' is null", "send a string, which may be empty");
        }
        return submission;
    }

    private static void checkLength(String field, String value, int maxCharacters) throws HttpProblem {
        if (value == null || value.isEmpty() || value.length() > maxCharacters) {
            throw HttpProblem.invalid(
                    "field '" + field + "' is empty or over " + maxCharacters + " characters",
                    "send 1 to " + maxCharacters);
        }
    }

    /** Returns the request's final answer, or its current status once {@code waitMillis} have passed. */
    private HttpReply awaitStatus(String requestId, long waitMillis) throws HttpProblem {
        long deadlineNanos = deadlineAfterWait(waitMillis);
        while (true) {
            long remainingWaitMillis =
                    TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime()) - ROUTING_TIMEOUT_MILLIS;
            long queryWaitMillis = draining ? 0 : Math.max(0, Math.min(remainingWaitMillis, MAX_WAIT_PER_QUERY_MILLIS));
            Message reply = router.forward(requestId, new Message.Find(requestId, queryWaitMillis), deadlineNanos);
            boolean pending = reply instanceof Message.Status status && status.outcome() == null;
            if (!pending || queryWaitMillis == 0) {
                return toHttpReply(reply);
            }
        }
    }

    private static long deadlineAfterWait(long waitMillis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis + ROUTING_TIMEOUT_MILLIS);
    }

    private static HttpReply toHttpReply(Message message) throws HttpProblem {
        return switch (message) {
            case Message.Status status -> status.outcome() == null ? HttpReply.accepted(status) : HttpReply.ok(status);
            case Message.Refused refused -> throw toHttpProblem(refused);
            default -> HttpReply.ok(message);
        };
    }

    static HttpProblem toHttpProblem(Message.Refused refused) {
        int status =
                switch (refused.kind()) {
                    case INVALID -> BAD_REQUEST;
                    case KEY_CONFLICT -> CONFLICT;
                    case NOT_FOUND -> NOT_FOUND;
                    case UNAVAILABLE -> UNAVAILABLE;
                };
        String error = refused.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new HttpProblem(status, error, refused.reason(), refused.remedy());
    }
}
