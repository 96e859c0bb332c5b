package org.acaciaport.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.JsonClient;
import org.acaciaport.platform.PlatformException;
import org.acaciaport.program.ExitCode;

/**
 * An HTTP client of the gateways that fails over to the next gateway in the settings.
 *
 * <p>Not thread-safe.
 */
final class GatewayClient {
    /** Longest time for one call, besides the wait that the call itself asks for. */
    private static final long CALL_TIMEOUT_MILLIS = 12_000;

    /** Statuses below this one are successes. */
    private static final int FIRST_ERROR_STATUS = 300;

    private static final int UNAVAILABLE = 503;

    private final JsonClient client;
    private final CtlSettings settings;

    GatewayClient(JsonClient client, CtlSettings settings) {
        this.client = client;
        this.settings = settings;
    }

    /** Gets {@code path} from the HTTP interface for operators. */
    JsonNode getFromOperatorApi(String path) throws CtlException {
        return call("GET", settings.operators(), path, null, 0);
    }

    /**
     * Calls {@code path} of the HTTP interface for callers.
     *
     * @param body value to send as JSON; null if there is none
     * @param waitMillis how long the call asks the gateway to wait for a final answer, in milliseconds
     */
    JsonNode callCallerApi(String method, String path, Object body, long waitMillis) throws CtlException {
        return call(method, settings.callers(), path, body, waitMillis);
    }

    /** Gets {@code path} from the HTTP interface for operators at {@code baseUri}, without failover. */
    JsonNode getFromOperatorApiAt(String baseUri, String path) throws PlatformException {
        return JsonClient.requireSuccess(baseUri, client.get(baseUri + path, CALL_TIMEOUT_MILLIS))
                .read(JsonNode.class);
    }

    /**
     * Calls the gateways at {@code baseUris} in turn until one responds with a status other than 503.
     *
     * @throws CtlException with {@code NEGATIVE} if a gateway refuses, or {@code UNAVAILABLE} if all are unavailable
     */
    private JsonNode call(String method, List<String> baseUris, String path, Object body, long waitMillis)
            throws CtlException {
        String lastError = "no gateway in the settings";
        for (String baseUri : baseUris) {
            try {
                long timeoutMillis = CALL_TIMEOUT_MILLIS + waitMillis;
                JsonClient.Response response = body == null && method.equals("GET")
                        ? client.get(baseUri + path, timeoutMillis)
                        : client.send(method, baseUri + path, body == null ? List.of() : body, timeoutMillis);
                if (response.status() < FIRST_ERROR_STATUS) {
                    return response.read(JsonNode.class);
                }
                HttpProblem.Body problem = response.read(HttpProblem.Body.class);
                lastError = problem.reason() + "; " + problem.remedy();
                if (response.status() != UNAVAILABLE) {
                    throw new CtlException(ExitCode.NEGATIVE, problem.error() + ": " + lastError);
                }
            } catch (PlatformException e) {
                lastError = e.getMessage();
            }
        }
        throw new CtlException(ExitCode.UNAVAILABLE, lastError);
    }
}
