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
 * The operators' HTTP interface that every server program has: {@code /healthz} and {@code /metrics}.
 *
 * <p>Safe for use by several threads.
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
     * Whether the balancer should send work here.
     *
     * @param ready whether it should
     * @param state one sentence that says why
     */
    public record Health(boolean ready, String state) {}

    @Override
    public HttpReply answer(HttpCall call) throws HttpProblem {
        if (call.matches("GET", 1, "healthz")) {
            Health now = health.get();
            return new HttpReply(now.ready() ? OK : UNAVAILABLE, now);
        }
        if (call.matches("GET", 1, "metrics")) {
            return HttpReply.ok(mapper.<JsonNode>valueToTree(metrics));
        }
        throw HttpProblem.notFound("no such path", "use GET /healthz or GET /metrics");
    }
}
