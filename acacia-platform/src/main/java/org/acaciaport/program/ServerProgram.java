package org.acaciaport.program;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jboss.logging.Logger;

/**
 * The common main program of all servers. Parses the arguments, loads the settings, starts the server and drains it
 * when the process is told to terminate.
 *
 * <p>Used by the main thread only. A termination signal starts the drain; when it is done, the process exits with code
 * 0.
 *
 * @param <S> type of the settings
 */
public final class ServerProgram<S extends Settings.Checkable> {
    /** A server that has been started. */
    public interface RunningServer {
        /** Finishes the requests in flight and stops. Called once. */
        void drain() throws InterruptedException;
    }

    /** Starts a server. */
    public interface Starter<S> {
        /**
         * Starts a server with {@code settings}.
         *
         * @throws Exception if it cannot start; the message is shown to the operator
         */
        RunningServer start(S settings) throws Exception;
    }

    private final String name;
    private final String description;
    private final Class<S> type;
    private final Starter<S> starter;

    /** Creates a program named {@code name} whose settings are of {@code type}. */
    public ServerProgram(String name, String description, Class<S> type, Starter<S> starter) {
        this.name = name;
        this.description = description;
        this.type = type;
        this.starter = starter;
    }

    /** Returns the version of this build, or {@code development} if it is not packaged. */
    public static String version() {
        String version = ServerProgram.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    /** Runs the program until it is stopped, and returns its exit code. */
    public ExitCode run(String... arguments) {
        ArgumentParser parser = parser();
        try {
            Namespace parsed = parser.parseArgs(arguments);
            S settings = Settings.load(Path.of(parsed.getString("settings")), type);
            if (parsed.getBoolean("check_settings")) {
                System.out.println(parsed.getString("settings") + ": settings are good");
                return ExitCode.OK;
            }
            return serve(settings);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            return ExitCode.USAGE;
        } catch (SettingsException e) {
            System.err.println(name + ": " + e.getMessage());
            return ExitCode.USAGE;
        }
    }

    private ExitCode serve(S settings) {
        RunningServer running;
        try {
            running = starter.start(settings);
        } catch (Exception e) {
            System.err.println(name + ": cannot start: " + e.getMessage());
            return ExitCode.UNAVAILABLE;
        }
        CountDownLatch drained = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().unstarted(() -> {
            try {
                running.drain();
            } catch (InterruptedException e) {
                Logger.getLogger(ServerProgram.class).warn("program: drain was interrupted");
            }
            drained.countDown();
            Logs.close();
            Runtime.getRuntime().halt(ExitCode.OK.code());
        }));
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return ExitCode.OK;
    }

    private ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor(name)
                .build()
                .description(description)
                .version(name + " " + version())
                .epilog("Exit codes: 0 clean shutdown, 2 invalid arguments or settings, 3 cannot start.");
        parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
        parser.addArgument("--settings").required(true).metavar("FILE").help("settings file in TOML format");
        parser.addArgument("--check-settings")
                .action(Arguments.storeTrue())
                .help("validate the settings and exit without starting");
        return parser;
    }
}
