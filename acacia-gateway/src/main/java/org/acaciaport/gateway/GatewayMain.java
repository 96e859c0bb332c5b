package org.acaciaport.gateway;

import org.acaciaport.program.Logs;
import org.acaciaport.program.ServerProgram;

/** The {@code acacia-gateway} program. */
public final class GatewayMain {
    private GatewayMain() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        ServerProgram<GatewaySettings> program = new ServerProgram<>(
                "acacia-gateway",
                "Takes callers' requests over HTTP and passes them to the schedulers.",
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
