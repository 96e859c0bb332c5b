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
 * The common life of a program that serves until it is told to stop: arguments, settings, start, drain.
 *
 * <p>Used by the main thread only. A stop signal begins a drain; the process ends with code 0 once it is done.
 *
 * @param <S> its settings
 */
public final class ServerProgram<S extends Settings.Checkable> {
    /** A running program. */
    public interface RunningServer {
        /** Finishes work at hand and stops. Called once. */
        void drain() throws InterruptedException;
    }

    /** Starts a program. */
    public interface Starter<S> {
        /** Starts with {@code settings}; throws whatever keeps it from starting. */
        RunningServer start(S settings) throws Exception;
    }

    private final String name;
    private final String description;
    private final Class<S> type;
    private final Starter<S> starter;

    /** Creates a program called {@code name}. */
    public ServerProgram(String name, String description, Class<S> type, Starter<S> starter) {
        this.name = name;
        this.description = description;
        this.type = type;
        this.starter = starter;
    }

    /** Returns the version of this build. */
    public static String version() {
        String version = ServerProgram.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }

    /** Runs until stopped and returns how it ended. */
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
                Logger.getLogger(ServerProgram.class).warn("program: stop was interrupted");
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
                .epilog("Exit codes: 0 stopped in order, 2 wrong arguments or settings, 3 cannot start.");
        parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
        parser.addArgument("--settings").required(true).metavar("FILE").help("TOML settings");
        parser.addArgument("--check-settings")
                .action(Arguments.storeTrue())
                .help("check the settings and exit without starting");
        return parser;
    }
}
