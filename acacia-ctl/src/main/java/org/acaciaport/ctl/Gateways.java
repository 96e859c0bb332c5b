package org.acaciaport.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.JsonClient;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.program.ExitCode;

/**
 * Calls the gateways, the first that answers.
 *
 * <p>Not thread-safe.
 */
final class Gateways {
    private static final long CALL_MILLIS = 12_000;
    private static final int OK_LIMIT = 300;
    private static final int UNAVAILABLE = 503;

    private final JsonClient client;
    private final CtlSettings settings;

    Gateways(JsonClient client, CtlSettings settings) {
        this.client = client;
        this.settings = settings;
    }

    JsonNode operators(String path) throws CtlException {
        return call("GET", settings.operators(), path, null, 0);
    }

    JsonNode callers(String method, String path, Object body, long waitMillis) throws CtlException {
        return call(method, settings.callers(), path, body, waitMillis);
    }

    /** Returns the answer of one gateway, without trying others. */
    JsonNode operatorsAt(String base, String path) throws PlatformException {
        return JsonClient.check(base, client.get(base + path, CALL_MILLIS)).read(JsonNode.class);
    }

    private JsonNode call(String method, List<String> bases, String path, Object body, long waitMillis)
            throws CtlException {
        String last = "no gateway in the settings";
        for (String base : bases) {
            try {
                long millis = CALL_MILLIS + waitMillis;
                JsonClient.Answer answer = body == null && method.equals("GET")
                        ? client.get(base + path, millis)
                        : client.send(method, base + path, body == null ? List.of() : body, millis);
                if (answer.status() < OK_LIMIT) {
                    return answer.read(JsonNode.class);
                }
                HttpProblem.Body problem = answer.read(HttpProblem.Body.class);
                last = problem.reason() + "; " + problem.remedy();
                if (answer.status() != UNAVAILABLE) {
                    throw new CtlException(ExitCode.NEGATIVE, problem.error() + ": " + last);
                }
            } catch (PlatformException e) {
                last = e.getMessage();
            }
        }
        throw new CtlException(ExitCode.UNAVAILABLE, last);
    }
}
