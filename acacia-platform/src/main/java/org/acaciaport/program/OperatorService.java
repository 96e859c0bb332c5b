package org.acaciaport.program;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.acaciaport.http.HttpCall;
import org.acaciaport.http.HttpProblem;
import org.acaciaport.http.HttpReply;
import org.acaciaport.http.HttpService;

/**
 * The operators' HTTP interface of every server program: {@code /healthz} and {@code /metrics}.
 *
 * <p>Thread-safe.
 */
public final class OperatorService implements HttpService {
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final MetricRegistry metrics;
    private final Supplier<Health> health;
    private final ObjectMapper mapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    /** Creates a service that reports {@code metrics} and {@code health}. */
    public OperatorService(MetricRegistry metrics, Supplier<Health> health) {
        this.metrics = metrics;
        this.health = health;
    }

    /**
     * The readiness of the program, for load balancers.
     *
     * @param ready whether a load balancer should send requests to this program
     * @param state the reason, in one sentence
     */
    public record Health(boolean ready, String state) {}

    @Override
    public HttpReply handle(HttpCall call) throws HttpProblem {
        if (call.matches("GET", 1, "healthz")) {
            Health current = health.get();
            return new HttpReply(current.ready() ? OK : UNAVAILABLE, current);
        }
        if (call.matches("GET", 1, "metrics")) {
            return HttpReply.ok(mapper.<JsonNode>valueToTree(metrics));
        }
        throw HttpProblem.notFound("no such path", "use GET /healthz or GET /metrics");
    }
}
