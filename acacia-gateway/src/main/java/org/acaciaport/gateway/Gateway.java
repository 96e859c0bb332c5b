package org.acaciaport.gateway;

import com.codahale.metrics.MetricRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.net.InetSocketAddress;
import org.acaciaport.http.HttpStartException;
import org.acaciaport.http.JsonServer;
import org.acaciaport.program.OperatorService;
import org.acaciaport.program.ServerProgram;
import org.acaciaport.program.SettingsCheck;
import org.jboss.logging.Logger;

/**
 * The gateway of one VM.
 *
 * <p>Safe for use by several threads.
 */
@Singleton
public final class Gateway implements ServerProgram.Running {
    private static final Logger LOG = Logger.getLogger(Gateway.class);

    private final GatewaySettings settings;
    private final MetricRegistry metrics;
    private final Cells cells;
    private final Router router;
    private final CallerService callerService;
    private JsonServer callers;
    private JsonServer operators;

    /** Creates a gateway that does nothing until started. */
    @Inject
    public Gateway(GatewaySettings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.metrics = metrics;
        cells = new Cells(settings, metrics);
        router = new Router(settings, cells, metrics);
        callerService = new CallerService(router);
    }

    /**
     * Begins to listen.
     *
     * @throws HttpStartException if an address cannot be bound
     */
    public void start() throws HttpStartException {
        cells.start();
        OperatorService common = new OperatorService(metrics, this::health);
        operators = JsonServer.start(address(settings.listen().operators()), new ViewService(common, cells, router));
        callers = JsonServer.start(address(settings.listen().callers()), callerService);
        LOG.infof(
                "gateway: started vm=%s data-centre=%s",
                settings.vm().name(), settings.vm().dataCentre());
    }

    private static InetSocketAddress address(String text) {
        return SettingsCheck.parse(text);
    }

    private OperatorService.Health health() {
        if (callerService.draining()) {
            return new OperatorService.Health(false, "stopping");
        }
        boolean ready = cells.table().active().revision() >= 0;
        return new OperatorService.Health(ready, ready ? "configuration in force" : "no scheduler has answered yet");
    }

    @Override
    public void drain() throws InterruptedException {
        LOG.info("gateway: stopping");
        callerService.drain();
        Thread.sleep(settings.drain().noticeMillis());
        callers.drain(settings.drain().limitMillis());
        operators.stop();
        cells.close();
        LOG.info("gateway: stopped");
    }
}
