package org.acaciaport.standins;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.acaciaport.http.HttpService;
import org.acaciaport.http.HttpStartException;
import org.acaciaport.http.JsonServer;
import org.acaciaport.program.ExitCode;
import org.acaciaport.program.LogSettings;
import org.acaciaport.program.Logs;
import org.acaciaport.program.SettingsCheck;

/** The entry point of the {@code acacia-standins} program, which serves a stand-in platform or stand-in targets. */
public final class StandinsMain {
    private StandinsMain() {}

    /** Serves until the process is killed; exits with an error code if it cannot start. */
    public static void main(String[] arguments) throws InterruptedException {
        Logs.configure(new LogSettings("text", "warn"));
        ArgumentParser parser = ArgumentParsers.newFor("acacia-standins")
                .build()
                .description("Simulates the platform, or targets if --target is given.");
        parser.addArgument("--listen").required(true).metavar("IP:PORT");
        parser.addArgument("--target").action(Arguments.append()).metavar("ID");
        parser.addArgument("--accelerators").type(Integer.class).setDefault(8);
        try {
            Namespace parsed = parser.parseArgs(arguments);
            JsonServer.start(SettingsCheck.parseAddress(parsed.getString("listen")), createService(parsed));
        } catch (HelpScreenException e) {
            System.exit(ExitCode.OK.code());
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(ExitCode.USAGE.code());
        } catch (HttpStartException e) {
            System.err.println("acacia-standins: " + e.getMessage());
            System.exit(ExitCode.UNAVAILABLE.code());
        }
        new CountDownLatch(1).await();
    }

    private static HttpService createService(Namespace parsed) {
        List<String> targetIds = parsed.getList("target");
        return targetIds == null ? new StandinPlatform() : new StandinTargets(targetIds, parsed.getInt("accelerators"));
    }
}
