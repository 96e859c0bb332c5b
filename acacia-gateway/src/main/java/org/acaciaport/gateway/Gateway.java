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
 * The gateway process of one VM: its HTTP servers for callers and operators, and its connections to the schedulers.
 *
 * <p>Thread-safe. Call {@link #start} once, and {@link #drain} once after it has returned.
 */
@Singleton
public final class Gateway implements ServerProgram.RunningServer {
    private static final Logger LOG = Logger.getLogger(Gateway.class);

    private final GatewaySettings settings;
    private final MetricRegistry metrics;
    private final SchedulerClients schedulers;
    private final Router router;
    private final CallerService callerService;
    private JsonServer callerServer;
    private JsonServer operatorServer;

    /** Creates a gateway that neither listens nor connects until {@link #start}. */
    @Inject
    public Gateway(GatewaySettings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.metrics = metrics;
        schedulers = new SchedulerClients(settings, metrics);
        router = new Router(settings, schedulers, metrics);
        callerService = new CallerService(router);
    }

    /**
     * Starts polling the schedulers and listening for callers and operators.
     *
     * @throws HttpStartException if an address cannot be bound
     */
    public void start() throws HttpStartException {
        schedulers.start();
        OperatorService operatorService = new OperatorService(metrics, this::health);
        operatorServer = JsonServer.start(
                parseAddress(settings.listen().operators()), new ViewService(operatorService, schedulers, router));
        callerServer = JsonServer.start(parseAddress(settings.listen().callers()), callerService);
        LOG.infof(
                "gateway: started vm=%s data-centre=%s",
                settings.vm().name(), settings.vm().dataCentre());
    }

    private static InetSocketAddress parseAddress(String text) {
        return SettingsCheck.parseAddress(text);
    }

    private OperatorService.Health health() {
        if (callerService.isDraining()) {
            return new OperatorService.Health(false, "stopping");
        }
        boolean ready = schedulers.routingTable().activeConfiguration().revision() >= 0;
        return new OperatorService.Health(ready, ready ? "configuration in force" : "no scheduler has answered yet");
    }

    @Override
    public void drain() throws InterruptedException {
        LOG.info("gateway: stopping");
        callerService.drain();
        Thread.sleep(settings.drain().noticeMillis());
        callerServer.drain(settings.drain().limitMillis());
        operatorServer.stop();
        schedulers.close();
        LOG.info("gateway: stopped");
    }
}
