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
import org.acaciaport.http.JsonProblems;
import org.acaciaport.wire.Codecs;
import org.acaciaport.wire.Message;

/**
 * Callers' HTTP interface: submit, look up, wait, cancel and explain requests.
 *
 * <p>Safe for use by several threads; holds no request of its own. While draining, waits end early with the present
 * status instead of an error.
 */
final class CallerService implements HttpService {
    private static final long DEFAULT_MILLIS = 10_000;
    private static final long MOST_WAIT_MILLIS = 60_000;
    private static final long WAIT_STEP_MILLIS = 2_000;
    private static final int MOST_KEY_LENGTH = 128;
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
     * Body of a submission.
     *
     * @param account name of the client account
     * @param profile name of the profile
     * @param key idempotency key; made up if the body has none
     * @param payload opaque input
     */
    record Submission(String account, String profile, String key, String payload) {}

    /** Makes waits end early. */
    void drain() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }

    @Override
    public HttpReply answer(HttpCall call) throws HttpProblem {
        if (call.matches("POST", 2, "v1", "requests")) {
            return submit(call);
        }
        if (call.matches("GET", 3, "v1", "requests")) {
            return status(call.path().get(2), call.number("wait", 0, MOST_WAIT_MILLIS));
        }
        if (call.matches("DELETE", 3, "v1", "requests")) {
            return reply(router.about(
                    call.path().get(2), new Message.Cancel(call.path().get(2)), deadline(0)));
        }
        if (call.matches("GET", 4, "v1", "requests") && call.path().get(3).equals("explain")) {
            return reply(router.about(
                    call.path().get(2), new Message.Explain(call.path().get(2)), deadline(0)));
        }
        throw HttpProblem.notFound(
                "no such path or method",
                "use POST /v1/requests, GET or DELETE /v1/requests/ID, or GET /v1/requests/ID/explain");
    }

    private HttpReply submit(HttpCall call) throws HttpProblem {
        Submission submission = read(call);
        long wait = call.number("wait", 0, MOST_WAIT_MILLIS);
        Message.Submit submit =
                new Message.Submit(submission.account(), submission.profile(), submission.key(), submission.payload());
        Message reply = router.submit(submit, deadline(0));
        boolean pending = reply instanceof Message.Status status && status.outcome() == null;
        return wait > 0 && pending ? status(((Message.Status) reply).request(), wait) : reply(reply);
    }

    private static Submission read(HttpCall call) throws HttpProblem {
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
            throw HttpProblem.invalid(JsonProblems.describe(e), "correct the body and send it again");
        }
        text("account", submission.account(), MOST_KEY_LENGTH);
        text("profile", submission.profile(), MOST_KEY_LENGTH);
        text("key", submission.key(), MOST_KEY_LENGTH);
        if (submission.payload() == null) {
            throw HttpProblem.invalid("field 'payload' is null", "send a string, which may be empty");
        }
        return submission;
    }

    private static void text(String field, String value, int most) throws HttpProblem {
        if (value == null || value.isEmpty() || value.length() > most) {
            throw HttpProblem.invalid(
                    "field '" + field + "' is empty or over " + most + " characters", "send 1 to " + most);
        }
    }

    private HttpReply status(String request, long wait) throws HttpProblem {
        long deadline = deadline(wait);
        while (true) {
            long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime()) - DEFAULT_MILLIS;
            long step = draining ? 0 : Math.max(0, Math.min(left, WAIT_STEP_MILLIS));
            Message reply = router.about(request, new Message.Find(request, step), deadline);
            boolean pending = reply instanceof Message.Status status && status.outcome() == null;
            if (!pending || step == 0) {
                return reply(reply);
            }
        }
    }

    private static long deadline(long wait) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait + DEFAULT_MILLIS);
    }

    private static HttpReply reply(Message message) throws HttpProblem {
        return switch (message) {
            case Message.Status status -> status.outcome() == null ? HttpReply.accepted(status) : HttpReply.ok(status);
            case Message.Refused refused -> throw problem(refused);
            default -> HttpReply.ok(message);
        };
    }

    static HttpProblem problem(Message.Refused refused) {
        int status =
                switch (refused.kind()) {
                    case INVALID -> BAD_REQUEST;
                    case KEY_CONFLICT -> CONFLICT;
                    case NOT_FOUND -> NOT_FOUND;
                    case UNAVAILABLE -> UNAVAILABLE;
                };
        String kind = refused.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new HttpProblem(status, kind, refused.reason(), refused.remedy());
    }
}
