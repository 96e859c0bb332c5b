package org.acaciaport.gateway;

import org.acaciaport.program.Logs;
import org.acaciaport.program.ServerProgram;

/** The entry point of the {@code acacia-gateway} program. */
public final class GatewayMain {
    private GatewayMain() {}

    /** Runs the gateway until it is told to stop, then exits. */
    public static void main(String[] arguments) {
        ServerProgram<GatewaySettings> program = new ServerProgram<>(
                "acacia-gateway",
                "Accepts callers' requests over HTTP and forwards them to the schedulers.",
                GatewaySettings.class,
                GatewayMain::start);
        System.exit(program.run(arguments).code());
    }

    private static Gateway start(GatewaySettings settings) throws Exception {
        Logs.configure(settings.log());
        Gateway gateway = DaggerGatewayComponent.builder()
                .gatewayModule(new GatewayModule(settings))
                .build()
                .gateway();
        gateway.start();
        return gateway;
    }
}
